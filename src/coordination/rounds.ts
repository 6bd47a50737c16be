import type { Micros } from "../transport/clock.js";
import { type BlockContext, firstToken } from "./context.js";
import { summary } from "./decisions/floor.js";
import type { Picture } from "./decisions/picture.js";
import { laneOf } from "./decisions/promptness.js";
import { applyAction, decideRound, newMemory, type RoundAction } from "./decisions/round.js";
import type { Work } from "./placement/ranking.js";
import type { Recorder } from "./recorder.js";

/** Looks for something to stop, a round; fewer where the processor is short. */
export const SEARCHES = 24;
const FEW_SEARCHES = 4;
/** Placements may wait so long for the state service's writes. */
const RECORDS_AHEAD_S = 2;
const MOST_AHEAD_S = 8;
/** Of what may be placed ahead of its records, what is not urgent keeps at least this. */
const OTHERS_SHARE = 0.2;

/** Carries out what placement rounds decide, through records and commands. */
export class Rounds {
  readonly work: Work = { visited: 0 };
  private readonly memory = newMemory();
  private told = 0;
  private ranAt: Micros;

  constructor(
    private readonly context: BlockContext,
    private readonly recorder: Recorder,
  ) {
    this.ranAt = context.clock.now();
  }

  /**
   * What is known now, for decisions. `records`: only a round uses it, and it takes a walk over all jobs, so plans do without.
   */
  picture(records: Picture["records"] = { prompt: 0, work: 0 }): Picture {
    const { block, clock, settings, options, lease, overload } = this.context;
    return {
      now: clock.now(),
      block,
      settings,
      options,
      silentAfter: settings.workers.report * options.silentReports,
      firstToken: firstToken(lease),
      searches: overload.atLeast("lean") ? FEW_SEARCHES : SEARCHES,
      records,
      guaranteesShort: this.memory.guaranteesShort,
      work: this.work,
    };
  }

  /** Until well into the next round, whenever that will be: else writes would be left unused between slow rounds. */
  private aheadS(): number {
    const since = (this.context.clock.now() - this.ranAt) / 1_000_000;
    return Math.min(MOST_AHEAD_S, Math.max(RECORDS_AHEAD_S, 1.5 * since));
  }

  /**
   * Ranges that may yet come to wait for their placements to be on record. What is urgent looks at its own kind only,
   * since its writes go first; all else keeps a share of its own, so that it goes on however much is urgent. Ends of
   * jobs wait in the same queues, and must not keep all starts out.
   */
  private recordsLeft(): Picture["records"] {
    const waiting = { prompt: 0, work: 0 };
    for (const job of this.context.block.jobs.values()) {
      if (job.cancelled || job.ending) continue;
      const lane = laneOf(job, this.context.settings);
      for (const { marked } of job.ranges) if (marked !== null) waiting[lane] += 1;
    }
    const ahead = this.context.committer.rate * this.aheadS();
    const left = { prompt: ahead - waiting.prompt, work: ahead - waiting.prompt - waiting.work };
    return {
      prompt: Math.floor(left.prompt),
      work: Math.floor(Math.max(left.work, ahead * OTHERS_SHARE - waiting.work)),
    };
  }

  /** For the log: what each pool holds, and what waits. */
  summary(): ReturnType<typeof summary> {
    return summary(this.picture());
  }

  /** The job for which room that comes free is kept, if there is one. */
  get keepsFor(): string | null {
    return this.memory.reservation?.job.spec.id ?? null;
  }

  run(): void {
    if (!this.context.lease.valid()) return;
    this.context.block.recordBytes = this.context.committer.valueBytes;
    const picture = this.picture(this.recordsLeft());
    this.ranAt = picture.now;
    for (const action of decideRound(picture, this.memory)) this.carryOut(action);
    this.settleWork();
  }

  /** Tells of what has been looked at since it was last told. */
  settleWork(): void {
    this.context.spent?.(this.work.visited - this.told);
    this.told = this.work.visited;
  }

  private carryOut(action: RoundAction): void {
    const { context } = this;
    const { block, log } = context;
    applyAction(block, action);
    switch (action.kind) {
      case "place":
        this.recorder.mark(action.task.range);
        return;
      case "stop": {
        const { by, machine, victims } = action;
        log.info("preempting", {
          task: by.name,
          machine: machine.name,
          victims: victims.map(({ task }) => task.name),
          reasons: victims.map(({ reason }) => reason),
        });
        this.context.wakeCommands(machine);
        return;
      }
      case "dissolve":
        for (const { on } of action.job.placed) if (on !== null) this.context.wakeCommands(on);
        return;
      case "guarantees":
        log.info(action.short ? "guarantees exceed the room" : "guarantees fit again", {
          claimedCpus: action.claimed / 1_000,
          roomCpus: action.room / 1_000,
        });
        return;
      case "reserve": {
        const { job, machines, until } = action.reservation;
        log.info("room kept", {
          job: job.spec.id,
          waitedS: Math.round((context.clock.now() - job.seenAt) / 1_000_000),
          machines: machines.size === 0 ? "its team's limit" : [...machines.keys()].slice(0, 5).map(({ name }) => name),
          atMostS: Math.round((until - context.clock.now()) / 1_000_000),
        });
        return;
      }
      case "unreserve":
        log.info("room no longer kept", { job: action.job.spec.id, why: action.why });
        return;
      case "no such room":
        log.info("no room in sight", { job: action.job.spec.id, tasks: action.job.spec.tasks });
        return;
      case "look later":
      case "wait":
    }
  }
}
