/**
 * In-memory state of a machine, as held by its shard leader, with one type for each concern. All times are read from
 * the shard leader's own monotonic clock, in microseconds.
 */
import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { Resources } from "../protocol/resources.js";
import type { Micros } from "../transport/clock.js";
import type { Task } from "./task.js";

/** Why all tasks are to leave a machine, which returns to the cloud. */
export type DrainReason = "scale-in" | "reclaim-notice";

/** The conclusion that a machine fails what is started on it. It ends once a trial task succeeds there. */
export interface MachineFault {
  /** Earliest time at which the next trial task is started. */
  retryAt: Micros;
  /** Consecutive trial tasks that failed. */
  failedTrials: number;
  /** The task last placed there as a trial; null: none was. */
  trialTask: Task | null;
}

/** Static properties of a machine, from the cloud's machine list or its worker's heartbeats. */
export interface MachineDescription {
  readonly name: string;
  readonly typeName: string;
  /** Null while the cloud's list of machine types does not contain `typeName`. */
  readonly type: MachineType | null;
  readonly zone: string;
  readonly spot: boolean;
}

/** Counters last reported by a worker, and whether they are verified (docs/heartbeat-evidence.md). */
export interface WorkerCounters {
  /** Null while no heartbeat has been processed. */
  incarnation: Uint64 | null;
  /** Sequence number of the newest heartbeat in this incarnation. */
  sequence: Uint64;
  /** Highest fencing token that the worker has reported. */
  highestToken: Uint64;
  /**
   * Messages of this incarnation and of earlier ones are stale: they were sent before the worker's lease expired. Null:
   * no incarnation is stale.
   */
  expiredIncarnation: Uint64 | null;
  /** When the counters were last updated from a message of the worker. */
  learnedAt: Micros;
  /** The counters come from a message that the worker sent in this leader's epoch. */
  verified: boolean;
  /**
   * 0: no reset of the worker's counters is known. Otherwise the worker has reset them, and only heartbeats that carry
   * this token were sent after the reset.
   */
  resetToken: number;
  /**
   * Start of the current series of heartbeats that may all have been sent before this epoch; null: no such series, as
   * after a heartbeat that was certainly sent in this epoch.
   */
  unverifiedSince: Micros | null;
  /** When a heartbeat last suggested that the worker had reset its counters. */
  suspectedAt: Micros;
  /** Consecutive heartbeats that appear older than the known counters. */
  suspectHeartbeats: number;
}

/** Whether messages to a worker are delivered, inferred from their effects (coordination/workers/reachability.ts). */
export interface Reachability {
  /** Consecutive commands and status queries without a response. */
  consecutiveTimeouts: number;
  /**
   * Token sent in heartbeat responses only: a heartbeat that carries it proves that a response was delivered. Null: no
   * probe is in progress.
   */
  probeToken: Uint64 | null;
  /** Consecutive heartbeats without the probe token, although the response to the preceding heartbeat carried it. */
  heartbeatsWithoutProbe: number;
  /** When the probe token was last sent in a heartbeat response; null: not sent yet. */
  probeSentAt: Micros | null;
  /** When a response to a command or status query was last received. */
  lastResponseAt: Micros;
  /** Since when the link is known to be one-way (heartbeats arrive, commands do not); null: the worker is reachable. */
  unreachableSince: Micros | null;
  lastHeartbeatAt: Micros;
  /** When a status query was last sent because heartbeats or responses were missing. */
  statusQueriedAt: Micros;
}

/** The worker's lease. When it expires, the worker stops all its tasks on its own. */
export interface WorkerLease {
  /** Latest time at which a heartbeat response may have renewed the lease. */
  renewedAt: Micros;
  /** When this leader last responded to a heartbeat. */
  respondedAt: Micros;
  expired: boolean;
}

/** The per-machine part of the fencing tokens sent with commands. */
export interface Fencing {
  /** Incremented whenever a command that must no longer take effect may still be in transit. */
  sequence: number;
  /** When a higher token than before was last sent to the worker or reported by it. */
  tokenRaisedAt: Micros;
}

/** Resources and images used by the machine's tasks, kept as running sums. */
export interface MachineLoad {
  used: Resources;
  /** Number of tasks that are service replicas. */
  replicas: number;
  /** Number of tasks by image. */
  readonly imagesInUse: Map<string, number>;
  /** Expected content of the worker's image cache: size in GB by image, least recently used first. */
  readonly cachedImages: Map<string, number>;
  /** Since when the machine has no tasks. */
  idleSince: Micros;
}

/** Tasks in the worker's newest heartbeat that are not active placements on this machine. */
export interface ReportedTasks {
  /** Attempt by task, for tasks that the worker runs without a matching placement. */
  unexpectedTasks: ReadonlyMap<string, Uint64>;
  /** Attempt by task, for tasks that have exited and that the worker still lists. */
  exitedTasks: ReadonlyMap<string, Uint64>;
  /**
   * JSON text of the task list. Null once local state has changed in a way that could give another result if the same
   * text were processed again.
   */
  taskListText: string | null;
}

/** Provisioning, draining, quarantine and deletion. */
export interface MachineLifecycle {
  provisionedAt: Micros;
  /** When the cloud reclaims the spot instance, according to its notice; null: no notice is in effect. */
  reclaimAt: Micros | null;
  /** Null: its tasks may stay. */
  drainReason: DrainReason | null;
  /** Null: the machine is not known as faulty. */
  fault: MachineFault | null;
  deleting: boolean;
  quarantinedUntil: Micros;
  /** Failures on this machine within the retention period, by job. */
  readonly recentFailures: Map<string, { readonly at: Micros; readonly count: number }>;
}

/** State of the command requests to the machine, of which at most one is in flight. */
export interface CommandState {
  inFlight: boolean;
  /** Earliest time of the next request. */
  nextRequestAt: Micros;
}

/** A machine of the shard. */
export interface Machine {
  readonly name: string;
  /** Empty while the machine is only known by name. */
  zone: string;
  spot: boolean;
  typeName: string;
  type: MachineType | null;
  address: string | null;
  /** `booting`: no heartbeat received yet. `unconfirmed`: known only from a heartbeat that may be a late duplicate. */
  state: "booting" | "unconfirmed" | "up" | "deleted";
  /** Tasks that may be running on the machine. */
  readonly tasks: Set<Task>;
  readonly counters: WorkerCounters;
  readonly reachability: Reachability;
  readonly lease: WorkerLease;
  readonly fencing: Fencing;
  readonly load: MachineLoad;
  readonly reported: ReportedTasks;
  readonly lifecycle: MachineLifecycle;
  readonly commands: CommandState;
}

const NEVER = 0 as Micros;

/**
 * Creates a machine that has sent no heartbeat yet. `now` is taken as the time of provisioning, of the last heartbeat
 * and of the last lease renewal.
 */
export const createMachine = ({ name, typeName, type, zone, spot }: MachineDescription, now: Micros): Machine => ({
  // Copies field by field instead of by spread: each object built by a spread gets a hidden class of its own, so that
  // every property read of a machine misses the inline caches (50 % more CPU time for a shard leader of 1,151
  // machines).
  name,
  typeName,
  type,
  zone,
  spot,
  address: null,
  state: "booting",
  tasks: new Set(),
  counters: {
    incarnation: null,
    sequence: 0,
    highestToken: 0,
    expiredIncarnation: null,
    learnedAt: now,
    verified: false,
    resetToken: 0,
    unverifiedSince: null,
    suspectedAt: NEVER,
    suspectHeartbeats: 0,
  },
  reachability: {
    consecutiveTimeouts: 0,
    probeToken: null,
    heartbeatsWithoutProbe: 0,
    probeSentAt: null,
    lastResponseAt: NEVER,
    unreachableSince: null,
    lastHeartbeatAt: now,
    statusQueriedAt: NEVER,
  },
  lease: { renewedAt: now, respondedAt: NEVER, expired: false },
  fencing: { sequence: 0, tokenRaisedAt: NEVER },
  load: {
    used: { cpu: 0, gpu: 0, ram: 0 },
    replicas: 0,
    imagesInUse: new Map(),
    cachedImages: new Map(),
    idleSince: now,
  },
  reported: { unexpectedTasks: new Map(), exitedTasks: new Map(), taskListText: null },
  lifecycle: {
    provisionedAt: now,
    reclaimAt: null,
    drainReason: null,
    fault: null,
    deleting: false,
    quarantinedUntil: NEVER,
    recentFailures: new Map(),
  },
  commands: { inFlight: false, nextRequestAt: NEVER },
});

/** Whether all tasks must leave the machine because it returns to the cloud; no task is started there any more. */
export const isBeingEmptied = ({ lifecycle }: Machine): boolean =>
  lifecycle.reclaimAt !== null || lifecycle.drainReason === "scale-in";

/**
 * Updates the machine's running sums when a task is assigned (`sign` 1) or released (-1), since summing over all tasks
 * at each change is slow.
 */
export const addTaskUsage = (machine: Machine, spec: JobSpec, sign: 1 | -1): void => {
  const {
    load: { used: usedResources },
  } = machine;
  const { demand } = spec;
  machine.reported.taskListText = null;
  machine.load.used = {
    cpu: usedResources.cpu + sign * demand.cpu,
    gpu: usedResources.gpu + sign * demand.gpu,
    ram: usedResources.ram + sign * demand.ram,
  };
  if (spec.shape === "service") machine.load.replicas += sign;
  const users = (machine.load.imagesInUse.get(spec.image) ?? 0) + sign;
  if (users > 0) machine.load.imagesInUse.set(spec.image, users);
  else machine.load.imagesInUse.delete(spec.image);
};

/** Updates the expected image cache after a use of `image`, evicting as the worker does: least recently used first. */
export const recordImageUse = (machine: Machine, image: string, gb: number): void => {
  machine.load.cachedImages.delete(image);
  machine.load.cachedImages.set(image, gb);
  const capacityGb = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  let usedGb = 0;
  for (const size of machine.load.cachedImages.values()) usedGb += size;
  for (const [name, size] of machine.load.cachedImages) {
    if (usedGb <= capacityGb) break;
    machine.load.cachedImages.delete(name);
    usedGb -= size;
  }
};
