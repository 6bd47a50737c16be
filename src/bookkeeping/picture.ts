import type { MachineType } from "../protocol/cloud.js";
import type { Whole } from "../protocol/json.js";
import type { Demand, JobSpec } from "../protocol/user.js";
import type { TaskState } from "../protocol/worker.js";
import type { Micros } from "../transport/clock.js";
import type { EndReason, TaskRecord } from "./records.js";

/** Why a machine takes no more tasks. */
export type Drain = "returning" | "notice" | "faulty";

/** Whether what is sent to a worker gets there, told from effects alone; kept with the machine (decisions/reach.ts). */
export interface Reach {
  /** Commands and questions in a row that got no answer. */
  unanswered: number;
  /** A token that answers to reports alone carry, to see it come back; null: none is waited for. */
  asked: Whole | null;
  /** Reports in a row that did not show it, though the answer to the one before had it. */
  unseen: number;
  /** When it was last in an answer; null: in none yet. */
  toldAt: Micros | null;
  /** When a question or command was last answered. */
  answeredAt: Micros;
}

export interface Machine {
  readonly name: string;
  /** Empty while the machine is only known by name. */
  zone: string;
  spot: boolean;
  typeName: string;
  type: MachineType | null;
  address: string | null;
  /** `booting`: not heard of yet. `rumoured`: only a report names it that may be a late copy. */
  state: "booting" | "rumoured" | "up" | "gone";
  rentedAt: Micros;
  session: Whole | null;
  sequence: Whole;
  /** Highest token that the worker is known to have. */
  seenToken: Whole;
  /** What is known of it was written since this holder began. */
  timely: boolean;
  /** Its counters have begun anew: only reports that show this token are from after that. */
  anewToken: number;
  /** When its counters were last learnt. */
  learntAt: Micros;
  /** Since when all its reports may have been from before this holder's time; null: one was not. */
  unprovenSince: Micros | null;
  /** When it last looked as if its counters had begun anew. */
  doubtedAt: Micros;
  /** Reports in a row that look older than what is known. */
  doubts: number;
  /** Questions and commands without an answer, and answers without an effect (decisions/reach.ts). */
  readonly reach: Reach;
  /** It was said that the machine is heard and not reached. */
  unreachedSince: Micros | null;
  /** Raised whenever a command may still be under way that must not land later. */
  fence: number;
  /** Messages of an earlier session are from before its lease surely ran out. */
  staleSession: Whole | null;
  lastHeard: Micros;
  /** Latest moment at which an answer may have renewed the worker's lease. */
  leaseBase: Micros;
  leaseOver: boolean;
  readonly tasks: Set<Task>;
  /** Of its tasks: what they take together, how many are replicas, and how many use each image. */
  used: Demand;
  replicas: number;
  readonly pinned: Map<string, number>;
  /** Tasks that the worker reports and that nothing here has placed there. */
  strays: ReadonlyMap<string, Whole>;
  /**
   * The list of tasks that was last taken in, as it was written, as long as nothing has changed here that would make
   * it mean something else; else null.
   */
  listing: string | null;
  /** Exited tasks that the worker still reports, with their attempts. */
  exited: ReadonlyMap<string, Whole>;
  /** Images that must be in its cache, least recently used first, with their size. */
  readonly images: Map<string, number>;
  noticeUntil: Micros | null;
  drain: Drain | null;
  /** Jobs whose tasks failed here lately. */
  readonly failures: Map<string, { readonly at: Micros; readonly count: number }>;
  avoidUntil: Micros;
  idleSince: Micros;
  commanding: boolean;
  commandAfter: Micros;
  /** The fence under which a start was last sent: below a higher one none of them can arrive, again or late. */
  launchFence: number;
  /** When the fence was last raised so that ended attempts may be forgotten. */
  forgotAt: Micros;
  deleting: boolean;
  probed: Micros;
}

/**
 * What is known of a start command.
 * `none`: none can arrive any more. `sending`: under way. `unsure`: one sent under at most `token` may yet
 * arrive. `seen`: the worker has listed the attempt.
 */
export type Launch =
  | { readonly kind: "none" | "sending" | "seen" }
  | { readonly kind: "unsure"; readonly token: number };

export interface Task {
  readonly job: Job;
  readonly range: Range;
  readonly index: number;
  readonly name: string;
  /** What the state service holds, as far as known. */
  durable: TaskRecord;
  /** What it is to hold; the range's writer works off the difference. */
  want: TaskRecord;
  /** The machine it may be on. Counts against room, quota and zones. */
  on: Machine | null;
  launch: Launch;
  state: TaskState | null;
  runningSince: Micros | null;
  stop: { readonly graceS: number } | null;
  notBefore: Micros;
  failures: number;
  waitingSince: Micros;
  preemptAfter: Micros;
}

export interface Range {
  readonly job: Job;
  readonly index: number;
  readonly tasks: readonly Task[];
  version: Whole;
  writing: boolean;
  dirty: boolean;
  /** Since when a placement waits to be on record; null: none does. */
  marked: Micros | null;
  /** When its next write is to begin, if that is set. */
  due: Micros | null;
}

export interface Job {
  readonly spec: JobSpec;
  version: Whole;
  cancelled: boolean;
  /** Where it was not its user who cancelled it. */
  why: EndReason | null;
  readonly ranges: Range[];
  readonly waiting: Set<Task>;
  /** Tasks that may be on a machine. */
  readonly placed: Set<Task>;
  done: number;
  /** Tasks last reported as running: users ask for it, and counting them anew each time was dear for large jobs. */
  running: number;
  /** Fits, or once fitted, into its team's guarantee together with the team's earlier unfinished jobs. */
  entitled: boolean;
  /** A task of it has been placed at some time. */
  begun: boolean;
  /** Goes first, since too few of its class or team have begun (decisions/served.ts). */
  lifted: boolean;
  /** Since when it waits: when it was first seen here, or when the last job that it awaits was on record as done. */
  seenAt: Micros;
  /** Awaits jobs that are not on record as done: it takes part in nothing but its own cancellation. */
  blocked: boolean;
  /** With which it counts: its own, or that of a job that needs it; 0 is the highest. */
  rank: number;
  /** By when it is to be done, by its own deadline and by those of the jobs that need it. */
  ownDue: Micros | null;
  dueAt: Micros | null;
  /** Where its list of awaited jobs lies, if not in its own record. */
  awaited: { readonly digest: string; readonly parts: number } | null;
  ending: boolean;
  /** Machines on which a task of it failed since one last succeeded. */
  readonly failedOn: Set<string>;
  /** Fails wherever it is started, as far as is known: one task at a time is tried (decisions/trial.ts). */
  onTrial: boolean;
  /** The longest that a task of it ran before it failed, since one last succeeded. */
  longestFailed: Micros;
  retryAfter: Micros;
  /** Trials that failed, one after the other. */
  failures: number;
}
