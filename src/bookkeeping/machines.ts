import type { MachineType } from "../protocol/cloud.js";
import type { Whole } from "../protocol/json.js";
import type { Demand, JobSpec } from "../protocol/user.js";
import type { Micros } from "../transport/clock.js";
import type { Task } from "./tasks.js";

/** Why a machine takes no more tasks. */
export type Drain = "returning" | "notice" | "faulty";

export interface Machine {
  readonly name: string;
  /** Empty while the machine is only known by name. */
  zone: string;
  spot: boolean;
  typeName: string;
  type: MachineType | null;
  address: string | null;
  /** `booting`: not heard of yet. */
  state: "booting" | "up" | "gone";
  rentedAt: Micros;
  session: Whole | null;
  sequence: Whole;
  /** Highest token that the worker is known to have. */
  seenToken: Whole;
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
  /** Highest token under which a command got lost on the way; null once the worker is known to be past it. */
  lostToken: number | null;
  deleting: boolean;
  probed: Micros;
}

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
  fence: 0,
  staleSession: null,
  lastHeard: now,
  leaseBase: now,
  leaseOver: false,
  tasks: new Set(),
  used: { cpu: 0, gpu: 0, ram: 0 },
  replicas: 0,
  pinned: new Map(),
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
  lostToken: null,
  deleting: false,
  probed: 0 as Micros,
});

/** Keeps the sums over a machine's tasks when one comes (1) or goes (-1); walking all tasks each time was dear. */
export const tally = (machine: Machine, spec: JobSpec, sign: 1 | -1): void => {
  const { used } = machine;
  const { demand } = spec;
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
