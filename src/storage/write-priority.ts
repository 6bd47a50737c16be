/**
 * Priorities of writes, by which the write budget is spent.
 * @module
 */
import { type Micros, seconds } from "../transport/clock.js";

/**
 * In the order in which the write budget is spent: cancellations, which nothing may keep waiting; what else a user
 * waits for; what a task's start or a job's end waits for, of urgent work and of other work; what has ended and is
 * still reported by its worker; and what only keeps the records short. Ends of tasks shared a queue with starts at
 * first: with thousands of machines there were several times as many of them as writes, and starts waited for seconds.
 * Urgent starts shared one with all others: a swarm of a guest's single tasks kept them waiting for 2.3 s in the mean.
 */
export const WRITE_PRIORITIES = ["cancellation", "user", "urgent", "normal", "deferred", "maintenance"] as const;
/** One of `WRITE_PRIORITIES`. */
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

/** One value for each priority. */
export const forEachPriority = <T>(make: () => T): Record<WritePriority, T> => ({
  cancellation: make(),
  user: make(),
  urgent: make(),
  normal: make(),
  deferred: make(),
  maintenance: make(),
});

const OVERDUE_AFTER: ReadonlyMap<WritePriority, Micros> = new Map([
  ["urgent", seconds(1)],
  ["normal", seconds(10)],
  ["deferred", seconds(30)],
  ["maintenance", seconds(60)],
]);

/** The priorities in whose queues a transaction can be overdue, each of which gets a turn then. */
export const TURN_ORDER: readonly WritePriority[] = [...OVERDUE_AFTER.keys()];

/**
 * A transaction that has waited for longer than this begins a batch in its turn, so that no priority starves behind
 * those before it. Cancellations and users' writes come first anyway: 0.
 */
export const overdueAfter = (priority: WritePriority): Micros => OVERDUE_AFTER.get(priority) ?? (0 as Micros);
