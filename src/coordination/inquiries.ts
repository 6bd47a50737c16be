import type { Machine } from "../bookkeeping/picture.js";
import type { Commander } from "./commander.js";
import { type BlockLease, firstToken, type Services } from "./context.js";

/** Machines asked for their state at once after a handover. */
const MAX_INQUIRIES = 48;
const MAX_INTRODUCTIONS = 24;
/** Where the processor is short, the machines' own reports are to be read first. */
const FEW_INQUIRIES = 6;

export interface InquiriesAround extends Pick<Services, "overload"> {
  readonly lease: BlockLease;
  readonly commander: Pick<Commander, "inquire" | "send">;
  readonly stopped: () => boolean;
  readonly guard: (work: Promise<unknown>) => Promise<void>;
  /** Somebody has been asked, and others are still to be. */
  readonly stillAsking: () => void;
}

/** Asks workers for their state and shows them our token, so many at once. */
export class Inquiries {
  /** To be asked for their state: those with replicas, those with other work, the rest. */
  private readonly queues: readonly [Set<Machine>, Set<Machine>, Set<Machine>] = [new Set(), new Set(), new Set()];
  private inquiring = 0;
  private introducing = 0;

  constructor(private readonly around: InquiriesAround) {}

  /** Bounded: a thousand machines asked at once took all sockets and all processor time from what was running. */
  add(machine: Machine): void {
    // Those that may have work on them first: what they ran is either still there or to be placed anew.
    const [withReplicas, withWork, others] = this.queues;
    for (const queue of this.queues) queue.delete(machine);
    (machine.replicas > 0 ? withReplicas : machine.tasks.size > 0 ? withWork : others).add(machine);
    this.next();
  }

  private take(): Machine | undefined {
    for (const queue of this.queues) {
      for (const machine of queue) {
        queue.delete(machine);
        return machine;
      }
    }
    return undefined;
  }

  private next(): void {
    const { overload } = this.around;
    const most = overload.atLeast("lean") ? FEW_INQUIRIES : MAX_INQUIRIES;
    while (!this.around.stopped() && this.inquiring < most) {
      const machine = this.take();
      if (machine === undefined) return;
      // Its own report came first, and nothing of it is in doubt.
      if (
        machine.timely &&
        machine.seenToken >= firstToken(this.around.lease) &&
        machine.learntAt > machine.doubtedAt &&
        machine.reach.asked === null
      )
        continue;
      this.inquiring += 1;
      void this.around.guard(this.around.commander.inquire(machine)).then(() => {
        this.inquiring -= 1;
        if (this.queues.some((queue) => queue.size > 0)) this.around.stillAsking();
        this.next();
      });
    }
  }

  /**
   * Shows the worker our token at once. Only where that is cheap: the answer to its report does so, too, and it then
   * reports anew by itself within a second.
   */
  introduce(machine: Machine): void {
    if (this.introducing >= MAX_INTRODUCTIONS || this.around.overload.atLeast("lean")) return;
    this.introducing += 1;
    void this.around.guard(this.around.commander.send(machine, true)).then(() => {
      this.introducing -= 1;
    });
  }
}
