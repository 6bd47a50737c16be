import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { Resources } from "../protocol/resources.js";
import type { TaskState } from "../protocol/worker.js";
import type { CancellationReason } from "../storage/cancellation-reason.js";
import type { TaskRecord } from "../storage/task-range-records.js";
import type { Micros } from "../transport/clock.js";

/** Why a machine takes no more tasks. */
export type DrainReason = "scale-in" | "reclaim-notice" | "faulty";

/** Whether what is sent to a worker gets there, told from effects alone; kept with the machine (coordination/workers/reachability.ts). */
export interface Reachability {
  /** Commands and questions in a row that got no answer. */
  consecutiveTimeouts: number;
  /** A token that answers to reports alone carry, to see it come back; null: none is waited for. */
  probeToken: Uint64 | null;
  /** Reports in a row that did not show it, though the answer to the one before had it. */
  heartbeatsWithoutProbe: number;
  /** When it was last in an answer; null: in none yet. */
  probeSentAt: Micros | null;
  /** When a question or command was last answered. */
  lastResponseAt: Micros;
}

export interface Machine {
  readonly name: string;
  /** Empty while the machine is only known by name. */
  zone: string;
  spot: boolean;
  typeName: string;
  type: MachineType | null;
  address: string | null;
  /** `booting`: not heard of yet. `unconfirmed`: only a report names it that may be a late copy. */
  state: "booting" | "unconfirmed" | "up" | "deleted";
  provisionedAt: Micros;
  incarnation: Uint64 | null;
  heartbeatSequence: Uint64;
  /** Highest token that the worker is known to have. */
  highestToken: Uint64;
  /** What is known of it was written since this holder began. */
  verified: boolean;
  /** Its counters have begun anew: only reports that show this token are from after that. */
  counterResetToken: number;
  /** When its counters were last learnt. */
  countersLearnedAt: Micros;
  /** Since when all its reports may have been from before this holder's time; null: one was not. */
  unverifiedSince: Micros | null;
  /** When it last looked as if its counters had begun anew. */
  suspectedAt: Micros;
  /** Reports in a row that look older than what is known. */
  suspectHeartbeats: number;
  /** Questions and commands without an answer, and answers without an effect (coordination/workers/reachability.ts). */
  readonly reachability: Reachability;
  /** It was said that the machine is heard and not reached. */
  unreachableSince: Micros | null;
  /** Raised whenever a command may still be under way that must not land later. */
  fencingSequence: number;
  /** Messages of an earlier session are from before its lease surely ran out. */
  expiredIncarnation: Uint64 | null;
  lastHeartbeatAt: Micros;
  /** Latest moment at which an answer may have renewed the worker's lease. */
  leaseRenewedAt: Micros;
  leaseExpired: boolean;
  readonly tasks: Set<Task>;
  /** Of its tasks: what they take together, how many are replicas, and how many use each image. */
  usedResources: Resources;
  replicaCount: number;
  readonly imagesInUse: Map<string, number>;
  /** Tasks that the worker reports and that nothing here has placed there. */
  unexpectedTasks: ReadonlyMap<string, Uint64>;
  /**
   * The list of tasks that was last taken in, as it was written, as long as nothing has changed here that would make
   * it mean something else; else null.
   */
  knownTaskList: string | null;
  /** Exited tasks that the worker still reports, with their attempts. */
  exitedTasks: ReadonlyMap<string, Uint64>;
  /** Images that must be in its cache, least recently used first, with their size. */
  readonly cachedImages: Map<string, number>;
  reclaimAt: Micros | null;
  drainReason: DrainReason | null;
  /** Jobs whose tasks failed here lately. */
  readonly recentFailures: Map<string, { readonly at: Micros; readonly count: number }>;
  quarantinedUntil: Micros;
  idleSince: Micros;
  commandInFlight: boolean;
  nextCommandAt: Micros;
  /** The fence under which a start was last sent: below a higher one none of them can arrive, again or late. */
  startFencingSequence: number;
  /** When the fence was last raised so that ended attempts may be forgotten. */
  forgetSentAt: Micros;
  deleting: boolean;
  probedAt: Micros;
}

/**
 * What is known of a start command.
 * `none`: none can arrive any more. `sending`: under way. `unsure`: one sent under at most `token` may yet
 * arrive. `seen`: the worker has listed the attempt.
 */
export type StartCommandState =
  | { readonly kind: "none" | "sending" | "observed" }
  | { readonly kind: "uncertain"; readonly token: number };

export interface Task {
  readonly job: Job;
  readonly range: TaskRange;
  readonly index: number;
  readonly name: string;
  /** What the state service holds, as far as known. */
  recorded: TaskRecord;
  /** What it is to hold; the range's writer works off the difference. */
  desired: TaskRecord;
  /** The machine it may be on. Counts against room, quota and zones. */
  machine: Machine | null;
  startCommand: StartCommandState;
  state: TaskState | null;
  runningSince: Micros | null;
  stopRequest: { readonly graceS: number } | null;
  earliestStart: Micros;
  failureCount: number;
  waitingSince: Micros;
  nextPreemptionSearch: Micros;
}

export interface TaskRange {
  readonly job: Job;
  readonly index: number;
  readonly tasks: readonly Task[];
  version: Uint64;
  writing: boolean;
  dirty: boolean;
  /** Since when a placement waits to be on record; null: none does. */
  placementPendingSince: Micros | null;
  /** When its next write is to begin, if that is set. */
  writeDueAt: Micros | null;
}

export interface Job {
  readonly spec: JobSpec;
  version: Uint64;
  cancelled: boolean;
  /** Where it was not its user who cancelled it. */
  cancellationReason: CancellationReason | null;
  readonly ranges: TaskRange[];
  readonly waitingTasks: Set<Task>;
  /** Tasks that may be on a machine. */
  readonly placedTasks: Set<Task>;
  completedTasks: number;
  /** Tasks last reported as running: users ask for it, and counting them anew each time was dear for large jobs. */
  runningTasks: number;
  /** Fits, or once fitted, into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
  /** A task of it has been placed at some time. */
  started: boolean;
  /** Goes first, since too few of its class or team have begun (coordination/scheduling/starvation.ts). */
  boosted: boolean;
  /** Since when it waits: when it was first seen here, or when the last job that it awaits was on record as done. */
  waitingSince: Micros;
  /** Awaits jobs that are not on record as done: it takes part in nothing but its own cancellation. */
  awaitingDependencies: boolean;
  /** With which it counts: its own, or that of a job that needs it; 0 is the highest. */
  effectiveRank: number;
  /** By when it is to be done, by its own deadline and by those of the jobs that need it. */
  ownDeadline: Micros | null;
  effectiveDeadline: Micros | null;
  /** Where its list of awaited jobs lies, if not in its own record. */
  dependencyList: { readonly digest: string; readonly parts: number } | null;
  outcomePending: boolean;
  /** Machines on which a task of it failed since one last succeeded. */
  readonly failedMachines: Set<string>;
  /** Fails wherever it is started, as far as is known: one task at a time is tried (coordination/workers/failure-attribution.ts). */
  onProbation: boolean;
  /** The longest that a task of it ran before it failed, since one last succeeded. */
  longestFailedRun: Micros;
  retryAfter: Micros;
  /** Trials that failed, one after the other. */
  failedProbes: number;
}
