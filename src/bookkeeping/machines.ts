import type { MachineType } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/user.js";
import type { Micros } from "../transport/clock.js";
import type { Machine } from "./picture.js";

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
  rentedAt: now,
  session: null,
  sequence: 0,
  seenToken: 0,
  timely: false,
  anewToken: 0,
  learntAt: now,
  unprovenSince: null,
  doubtedAt: 0 as Micros,
  doubts: 0,
  reach: { unanswered: 0, asked: null, unseen: 0, toldAt: null, answeredAt: 0 as Micros },
  unreachedSince: null,
  fence: 0,
  staleSession: null,
  lastHeard: now,
  leaseBase: now,
  leaseOver: false,
  tasks: new Set(),
  used: { cpu: 0, gpu: 0, ram: 0 },
  replicas: 0,
  pinned: new Map(),
  listing: null,
  strays: new Map(),
  exited: new Map(),
  images: new Map(),
  noticeUntil: null,
  drain: null,
  failures: new Map(),
  avoidUntil: 0 as Micros,
  idleSince: now,
  commanding: false,
  commandAfter: 0 as Micros,
  launchFence: 0,
  forgotAt: 0 as Micros,
  deleting: false,
  probed: 0 as Micros,
});

/** Keeps the sums over a machine's tasks when one comes (1) or goes (-1); walking all tasks each time was dear. */
export const tally = (machine: Machine, spec: JobSpec, sign: 1 | -1): void => {
  const { used } = machine;
  const { demand } = spec;
  machine.listing = null;
  machine.used = {
    cpu: used.cpu + sign * demand.cpu,
    gpu: used.gpu + sign * demand.gpu,
    ram: used.ram + sign * demand.ram,
  };
  if (spec.shape === "service") machine.replicas += sign;
  const users = (machine.pinned.get(spec.image) ?? 0) + sign;
  if (users > 0) machine.pinned.set(spec.image, users);
  else machine.pinned.delete(spec.image);
};

/** The worker keeps the most recently used images; what no longer fits has been dropped. */
export const rememberImage = (machine: Machine, image: string, gb: number): void => {
  machine.images.delete(image);
  machine.images.set(image, gb);
  const limit = machine.type?.cacheGb ?? Number.POSITIVE_INFINITY;
  let sum = 0;
  for (const size of machine.images.values()) sum += size;
  for (const [name, size] of machine.images) {
    if (sum <= limit) break;
    machine.images.delete(name);
    sum -= size;
  }
};
