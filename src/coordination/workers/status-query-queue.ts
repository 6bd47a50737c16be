/** Sends status queries and fencing token announcements to workers with bounded concurrency. */

import type { Machine } from "../../cluster/machine.js";
import type { Services, ShardLease } from "../context.js";
import { firstFencingToken } from "../fencing-token.js";
import type { CommandDispatcher } from "./command-dispatcher.js";

/** Maximum concurrent status queries, for instance after a failover. */
const MAX_QUERIES = 48;
const MAX_ANNOUNCEMENTS = 24;
/** Lower limit under load shedding, so that incoming heartbeats are processed first. */
const MAX_QUERIES_UNDER_LOAD = 6;

/** The queue's dependencies on its shard and its collaborators. */
export interface StatusQueryDependencies extends Pick<Services, "loadShedder"> {
  readonly lease: ShardLease;
  readonly commands: Pick<CommandDispatcher, "queryStatus" | "send">;
  readonly stopped: () => boolean;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Called when a query has ended while others are still queued. */
  readonly onMoreQueued: () => void;
}

/** Queries the status of workers, by priority, and announces the leader's fencing token to them. */
export class StatusQueryQueue {
  /** Machines to query, in order of priority: with replicas, with other tasks, without tasks. */
  private readonly queues: readonly [Set<Machine>, Set<Machine>, Set<Machine>] = [new Set(), new Set(), new Set()];
  private queriesInFlight = 0;
  private announcementsInFlight = 0;

  constructor(private readonly dependencies: StatusQueryDependencies) {}

  /**
   * Queues a status query. Concurrency is bounded: a thousand queries at once used up all sockets and all processor
   * time of the process.
   */
  enqueue(machine: Machine): void {
    // Machines that may run tasks come first: each of their tasks either still runs or has to be placed again.
    const [withReplicas, withTasks, others] = this.queues;
    for (const queue of this.queues) queue.delete(machine);
    (machine.load.replicas > 0 ? withReplicas : machine.tasks.size > 0 ? withTasks : others).add(machine);
    this.startQueries();
  }

  private dequeue(): Machine | undefined {
    for (const queue of this.queues) {
      for (const machine of queue) {
        queue.delete(machine);
        return machine;
      }
    }
    return undefined;
  }

  private startQueries(): void {
    const { loadShedder } = this.dependencies;
    const limit = loadShedder.atLeast("reduced") ? MAX_QUERIES_UNDER_LOAD : MAX_QUERIES;
    while (!this.dependencies.stopped() && this.queriesInFlight < limit) {
      const machine = this.dequeue();
      if (machine === undefined) return;
      // A heartbeat of the machine has already provided all that the query would show.
      if (
        machine.counters.verified &&
        machine.counters.highestToken >= firstFencingToken(this.dependencies.lease) &&
        machine.counters.learnedAt > machine.counters.suspectedAt &&
        machine.reachability.probeToken === null
      )
        continue;
      this.queriesInFlight += 1;
      void this.dependencies.guard(this.dependencies.commands.queryStatus(machine)).then(() => {
        this.queriesInFlight -= 1;
        if (this.queues.some((queue) => queue.size > 0)) this.dependencies.onMoreQueued();
        this.startQueries();
      });
    }
  }

  /**
   * Sends the leader's fencing token to the worker at once. Skipped at the concurrency limit or under load: the
   * response to a heartbeat carries the token as well, and the worker then sends another heartbeat within a second.
   */
  announceFencingToken(machine: Machine): void {
    if (this.announcementsInFlight >= MAX_ANNOUNCEMENTS || this.dependencies.loadShedder.atLeast("reduced")) return;
    this.announcementsInFlight += 1;
    void this.dependencies.guard(this.dependencies.commands.send(machine, true)).then(() => {
      this.announcementsInFlight -= 1;
    });
  }
}
