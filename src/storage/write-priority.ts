/**
 * Priorities of writes, in whose order the write budget is spent.
 * @module
 */
import { type Micros, seconds } from "../transport/clock.js";

/**
 * All priorities, the highest first: cancellations, which must not wait for anything else; other writes for which a
 * user is waiting; writes needed before a task can start or a job can end, for urgent jobs and then for other jobs;
 * ends of tasks that their worker still reports; and writes that only keep the records short. Ends of tasks do not
 * share a queue with starts: with thousands of machines there are several times as many ends as the write budget
 * allows, and starts would wait for seconds. Urgent starts do not share one with other starts: a burst of single-task
 * jobs of another team delayed them by 2.3 s on average.
 */
export const WRITE_PRIORITIES = ["cancellation", "user", "urgent", "normal", "deferred", "maintenance"] as const;
/** One of `WRITE_PRIORITIES`. */
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

/** Creates a record with one value for each priority. */
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

/** The priorities whose transactions can become overdue, in the round-robin order in which overdue ones are sent. */
export const OVERDUE_ORDER: readonly WritePriority[] = [...OVERDUE_AFTER.keys()];

/**
 * Waiting time after which a transaction is overdue and may begin a batch ahead of higher priorities, so that no
 * priority starves. 0 for cancellations and users' writes, which are sent first anyway.
 */
export const overdueAfter = (priority: WritePriority): Micros => OVERDUE_AFTER.get(priority) ?? (0 as Micros);
