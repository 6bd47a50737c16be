import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/job-spec.js";
import type { Micros } from "../transport/clock.js";
import type { Machine } from "./entities.js";

export const newMachine = (
  name: string,
  typeName: string,
  type: MachineType | null,
  zone: string,
  spot: boolean,
  now: Micros,
): Machine => ({
  name,
  typeName,
  type,
  zone,
  spot,
  address: null,
  state: "booting",
  provisionedAt: now,
  incarnation: null,
  heartbeatSequence: 0,
  highestToken: 0,
  verified: false,
  counterResetToken: 0,
  countersLearnedAt: now,
  unverifiedSince: null,
  suspectedAt: 0 as Micros,
  suspectHeartbeats: 0,
  reachability: {
    consecutiveTimeouts: 0,
    probeToken: null,
    heartbeatsWithoutProbe: 0,
    probeSentAt: null,
    lastResponseAt: 0 as Micros,
  },
  unreachableSince: null,
  fencingSequence: 0,
  expiredIncarnation: null,
  lastHeartbeatAt: now,
  leaseRenewedAt: now,
  leaseExpired: false,
  tasks: new Set(),
  usedResources: { cpu: 0, gpu: 0, ram: 0 },
  replicaCount: 0,
  imagesInUse: new Map(),
  knownTaskList: null,
  unexpectedTasks: new Map(),
  exitedTasks: new Map(),
  cachedImages: new Map(),
  reclaimAt: null,
  drainReason: null,
  recentFailures: new Map(),
  quarantinedUntil: 0 as Micros,
  idleSince: now,
  commandInFlight: false,
  nextCommandAt: 0 as Micros,
  startFencingSequence: 0,
  forgetSentAt: 0 as Micros,
  deleting: false,
  probedAt: 0 as Micros,
});

/** Keeps the sums over a machine's tasks when one comes (1) or goes (-1); walking all tasks each time was dear. */
export const addTaskUsage = (machine: Machine, spec: JobSpec, sign: 1 | -1): void => {
  const { usedResources } = machine;
  const { demand } = spec;
  machine.knownTaskList = null;
  machine.usedResources = {
    cpu: usedResources.cpu + sign * demand.cpu,
    gpu: usedResources.gpu + sign * demand.gpu,
    ram: usedResources.ram + sign * demand.ram,
  };
  if (spec.shape === "service") machine.replicaCount += sign;
  const users = (machine.imagesInUse.get(spec.image) ?? 0) + sign;
  if (users > 0) machine.imagesInUse.set(spec.image, users);
  else machine.imagesInUse.delete(spec.image);
};

/** The worker keeps the most recently used images; what no longer fits has been dropped. */
export const rememberImage = (machine: Machine, image: string, gb: number): void => {
  machine.cachedImages.delete(image);
  machine.cachedImages.set(image, gb);
  const limit = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  let sum = 0;
  for (const size of machine.cachedImages.values()) sum += size;
  for (const [name, size] of machine.cachedImages) {
    if (sum <= limit) break;
    machine.cachedImages.delete(name);
    sum -= size;
  }
};
