/**
 * Machines as the leader of their shard knows them, in value types by concern. All times are those of the leader's own
 * steady clock, in microseconds.
 */
import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { Resources } from "../protocol/resources.js";
import type { Micros } from "../transport/clock.js";
import type { Task } from "./task.js";

/** Why a machine takes no more tasks. */
export type DrainReason = "scale-in" | "reclaim-notice" | "faulty";

/** What a machine is, as the cloud or its own worker describes it. */
export interface MachineDescription {
  readonly name: string;
  readonly typeName: string;
  /** Null while the cloud's list of types does not name it. */
  readonly type: MachineType | null;
  readonly zone: string;
  readonly spot: boolean;
}

/** What is known of a worker by its own counters, and how far these are verified (docs/heartbeat-evidence.md). */
export interface WorkerCounters {
  /** Null while no heartbeat has been processed. */
  incarnation: Uint64 | null;
  /** Sequence number of the newest heartbeat in this incarnation. */
  sequence: Uint64;
  /** Highest fencing token that the worker has shown. */
  highestToken: Uint64;
  /** Messages of this incarnation and earlier ones are from before the worker's lease surely expired. */
  expiredIncarnation: Uint64 | null;
  /** When the counters were last learned. */
  learnedAt: Micros;
  /** What is known of the worker was written in this leader's epoch. */
  verified: boolean;
  /** Unless 0, the worker has reset its counters: only heartbeats that show this token are from after the reset. */
  resetToken: number;
  /** Since when all heartbeats may have been from before this epoch; null: the last one was not. */
  unverifiedSince: Micros | null;
  /** When the worker last looked as if it had reset its counters. */
  suspectedAt: Micros;
  /** Consecutive heartbeats that look older than what is known. */
  suspectHeartbeats: number;
}

/** Whether messages to a worker arrive, told from their effects alone (coordination/workers/reachability.ts). */
export interface Reachability {
  /** Consecutive commands and status queries without a response. */
  consecutiveTimeouts: number;
  /** A token that only responses to heartbeats carry, to see it come back; null: no probe is under way. */
  probeToken: Uint64 | null;
  /** Consecutive heartbeats that did not show the probe token, though the response to the one before carried it. */
  heartbeatsWithoutProbe: number;
  /** When a response last carried the probe token; null: none has yet. */
  probeSentAt: Micros | null;
  /** When a command or status query was last answered. */
  lastResponseAt: Micros;
  /** Since when the machine is known to be heard and not reached; null: it is reachable. */
  unreachableSince: Micros | null;
  lastHeartbeatAt: Micros;
  /** When a status query was last sent because the machine was silent or did not answer. */
  probedAt: Micros;
}

/** The worker's lease, after which it ends all its tasks by itself. */
export interface WorkerLease {
  /** Latest moment at which a response may have renewed it. */
  renewedAt: Micros;
  /** When this leader last responded to a heartbeat. */
  respondedAt: Micros;
  expired: boolean;
}

/** The machine's part of the fencing tokens that commands to it carry. */
export interface Fencing {
  /** Raised whenever a command may still be under way that must not take effect later. */
  sequence: number;
  /** When the worker was last sent, or showed, a higher token than before. */
  tokenRaisedAt: Micros;
}

/** What the machine's tasks take up, kept as sums. */
export interface MachineLoad {
  used: Resources;
  /** Tasks that are replicas of services. */
  replicas: number;
  /** Tasks by image. */
  readonly imagesInUse: Map<string, number>;
  /** Images that the worker's cache must hold with their size in GB, least recently used first. */
  readonly cachedImages: Map<string, number>;
  /** Since when the machine has no tasks. */
  idleSince: Micros;
}

/** What the worker's newest heartbeat listed beside the tasks that are placed on the machine. */
export interface ReportedTasks {
  /** Attempts by task that the worker runs and that no placement here explains. */
  unexpectedTasks: ReadonlyMap<string, Uint64>;
  /** Attempts by task that have exited and that the worker still lists. */
  exitedTasks: ReadonlyMap<string, Uint64>;
  /**
   * The list as it was written, as long as nothing has changed here that would give the same text another meaning; else
   * null.
   */
  taskListText: string | null;
}

/** Provisioning, draining, quarantine and deletion. */
export interface MachineLifecycle {
  provisionedAt: Micros;
  /** When the cloud takes a spot machine back, by its notice; null: no notice stands. */
  reclaimAt: Micros | null;
  /** Null: the machine takes tasks. */
  drainReason: DrainReason | null;
  deleting: boolean;
  quarantinedUntil: Micros;
  /** By job: its failures on this machine that still count. */
  readonly recentFailures: Map<string, { readonly at: Micros; readonly count: number }>;
}

/** Commands sent to the machine, one request at a time. */
export interface CommandState {
  inFlight: boolean;
  /** No request is sent before. */
  nextAt: Micros;
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
  /** `booting`: not heard of yet. `unconfirmed`: only a heartbeat names it that may be a late copy. */
  state: "booting" | "unconfirmed" | "up" | "deleted";
  /** Tasks that may be on the machine. */
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

/** A machine of which nothing has been heard yet. `now`: taken for the time of its provisioning and of its lease. */
export const createMachine = ({ name, typeName, type, zone, spot }: MachineDescription, now: Micros): Machine => ({
  // Field by field, not by a spread: after a spread the engine gives each object a hidden class of its own, and every read
  // of any machine misses the inline caches (a half more processor time for a leader of 1,151 machines).
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
    probedAt: NEVER,
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
    deleting: false,
    quarantinedUntil: NEVER,
    recentFailures: new Map(),
  },
  commands: { inFlight: false, nextAt: NEVER },
});

/** Whether everything is to leave the machine, which goes back to the cloud: nothing is started there any more. */
export const isBeingEmptied = ({ lifecycle }: Machine): boolean =>
  lifecycle.reclaimAt !== null || lifecycle.drainReason === "scale-in";

/** Keeps the sums over a machine's tasks when one comes (1) or goes (-1); walking all tasks each time was dear. */
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

/** The worker keeps the most recently used images; what no longer fits has been dropped. */
export const rememberImage = (machine: Machine, image: string, gb: number): void => {
  machine.load.cachedImages.delete(image);
  machine.load.cachedImages.set(image, gb);
  const limit = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  let sum = 0;
  for (const size of machine.load.cachedImages.values()) sum += size;
  for (const [name, size] of machine.load.cachedImages) {
    if (sum <= limit) break;
    machine.load.cachedImages.delete(name);
    sum -= size;
  }
};
