/** Status queries and announcements of fencing tokens to workers, bounded in number. */

import type { Machine } from "../../cluster/machine.js";
import type { Services, ShardLease } from "../context.js";
import { firstFencingToken } from "../fencing-token.js";
import type { CommandDispatcher } from "./command-dispatcher.js";

/** Machines asked for their state at once after a failover. */
const MAX_QUERIES = 48;
const MAX_ANNOUNCEMENTS = 24;
/** Where the processor is short, the machines' own heartbeats are to be read first. */
const MAX_QUERIES_UNDER_LOAD = 6;

/** What the queue needs of its shard and its collaborators. */
export interface StatusQueryDependencies extends Pick<Services, "loadShedder"> {
  readonly lease: ShardLease;
  readonly commands: Pick<CommandDispatcher, "queryStatus" | "send">;
  readonly stopped: () => boolean;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** A query has ended, and others are still queued. */
  readonly onMoreQueued: () => void;
}

/** Asks workers for their state and shows them the leader's fencing token, so many at once. */
export class StatusQueryQueue {
  /** To be asked for their state: those with replicas, those with other work, the rest. */
  private readonly queues: readonly [Set<Machine>, Set<Machine>, Set<Machine>] = [new Set(), new Set(), new Set()];
  private queriesInFlight = 0;
  private announcementsInFlight = 0;

  constructor(private readonly dependencies: StatusQueryDependencies) {}

  /** Bounded: a thousand machines asked at once took all sockets and all processor time from what was running. */
  enqueue(machine: Machine): void {
    // Those that may have work on them first: what they ran is either still there or to be placed again.
    const [withReplicas, withWork, others] = this.queues;
    for (const queue of this.queues) queue.delete(machine);
    (machine.load.replicas > 0 ? withReplicas : machine.tasks.size > 0 ? withWork : others).add(machine);
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
      // Its own heartbeat came first, and nothing of it is in doubt.
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
   * Shows the worker the leader's fencing token at once. Only where that is cheap: the response to its heartbeat does so,
   * too, and it then sends another heartbeat by itself within a second.
   */
  announceFencingToken(machine: Machine): void {
    if (this.announcementsInFlight >= MAX_ANNOUNCEMENTS || this.dependencies.loadShedder.atLeast("reduced")) return;
    this.announcementsInFlight += 1;
    void this.dependencies.guard(this.dependencies.commands.send(machine, true)).then(() => {
      this.announcementsInFlight -= 1;
    });
  }
}
