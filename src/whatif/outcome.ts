/** What a replay comes to. Same inputs and seed give the same bytes. Times in microseconds since the trace began. */
import type { Unmatched } from "./player.js";
import type { Remark } from "./trace.js";

/** What kept a start: the largest part of the time since the task could first have run. */
export const CAUSES = ["at once", "booting", "image", "room or limit", "started anew"] as const;
export type DelayCause = (typeof CAUSES)[number];

export type JobPhase = "done" | "cancelled" | "serving" | "running" | "never started" | "refused" | "not accepted";

export interface JobOutcome {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly rank: string;
  readonly service: boolean;
  readonly tasks: number;
  readonly phase: JobPhase;
  readonly submitUs: number;
  readonly firstStartUs: number | null;
  readonly finishUs: number | null;
  /** From submission to the first start. */
  readonly waitUs: number | null;
  /** When it should have been complete; null: no deadline. */
  readonly dueUs: number | null;
  /** 0: deadline kept. By how much it was missed, up to the replay's end where the job had not finished by then. */
  readonly lateUs: number | null;
  readonly starts: number;
  readonly stopped: number;
  readonly failed: number;
}

export interface Waits {
  readonly starts: number;
  readonly p50Us: number;
  readonly p90Us: number;
  readonly p99Us: number;
  readonly mostUs: number;
}

/** How many jobs of a class or a team came to their due; without those refused for good or cancelled by their users. */
export interface ServedGroup {
  readonly jobs: number;
  /** Share of them of which a task was on a machine at some time. */
  readonly started: number;
  /** Share of them that completed; services, which never do, count once they have run. */
  readonly done: number;
}

export type ServedGroups = Readonly<Record<string, ServedGroup>>;

/** What the site expects of first starts, and what came of it. */
export interface AimOutcome {
  readonly jobClass: string;
  readonly withinUs: number;
  readonly wanted: number;
  /** Share of the class's first starts within the time; null where there were none. */
  readonly reached: number | null;
}

/** A look at the site every so often, for plots. */
export interface Sample {
  readonly at: number;
  readonly machines: number;
  readonly running: number;
  /** Tasks of accepted jobs that are not on a machine. */
  readonly queued: number;
}

export interface Outcome {
  readonly version: 1;
  readonly mode: "faithful" | "fast" | "loopback";
  readonly trace: string;
  readonly seed: number;
  readonly endedUs: number;
  /** Why it ended: nothing left to do, the time set, or nothing moved any more. */
  readonly ended: "finished" | "until" | "stuck";
  readonly totals: {
    readonly jobs: number;
    readonly done: number;
    readonly late: number;
    readonly neverStarted: number;
    readonly starts: number;
    /** Attempts that ended without completing: stopped, lost with their machine, failed. */
    readonly stopped: number;
    readonly lost: number;
    readonly failed: number;
    readonly machines: number;
    readonly refusals: number;
    readonly cost: number;
    /** Cost of the completed work at the lowest nominal price of a CPU. */
    readonly usefulCost: number;
    readonly price: number | null;
    /** CPU time of tasks on machines, as a share of what was held. */
    readonly utilisation: number | null;
  };
  readonly byCause: Readonly<Record<DelayCause, number>>;
  readonly waits: Readonly<Record<string, Waits>>;
  readonly aims: readonly AimOutcome[];
  /** By class and by team: nobody is to come away with less than half. */
  readonly served: { readonly classes: ServedGroups; readonly teams: ServedGroups };
  readonly jobs: readonly JobOutcome[];
  /** Batch jobs in the order in which they finished. */
  readonly finishing: readonly string[];
  readonly series: readonly Sample[];
  readonly unmatched: readonly Unmatched[];
  readonly remarks: readonly Remark[];
}
