import type { Block } from "../bookkeeping/block.js";
import type { Chains } from "../bookkeeping/chains.js";
import type { Committer } from "../bookkeeping/committer.js";
import type { Sink } from "../bookkeeping/events.js";
import type { Job, Machine, Task } from "../bookkeeping/picture.js";
import type { EndRecord } from "../bookkeeping/records.js";
import type { Store } from "../bookkeeping/store.js";
import type { View } from "../bookkeeping/view.js";
import type { Whole } from "../protocol/json.js";
import type { ExitReason } from "../protocol/worker.js";
import type { Options } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import type { Clock, Micros } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import type { Overload } from "./overload.js";

/** What every part of the program is handed. */
export interface Services {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Settings;
  readonly options: Options;
  readonly http: HttpClient;
  readonly store: Store;
  readonly committer: Committer;
  readonly view: View;
  /** Which current jobs await which; kept by every controller. */
  readonly chains: Chains;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly sink: Sink;
  readonly overload: Overload;
  /** Time of day in milliseconds, true within `settings.clockError`; null where there is none to rely on. */
  readonly wall: (() => number) | null;
  readonly spent: ((looks: number) => void) | null;
  /** Where controllers are connected: when the own way to the workers was last found cut, or open again. */
  readonly deafChangedAt: () => Micros | null;
}

/** A leased block of machines. `number` is fresh at every handover. */
export interface BlockLease {
  readonly block: number;
  readonly number: number;
  readonly key: string;
  readonly version: Whole;
  /** By this process's own clock, counted from before the request that renewed it. */
  valid(): boolean;
}

export interface BlockContext extends Services {
  readonly block: Block;
  readonly lease: BlockLease;
  /** Another holder has, or may have, the block: nothing more may be done in its name. */
  fenced(): void;
  /** The picture is wrong: start over under a fresh number, since commands under this one may be under way. */
  startOver(): void;
  /** Room or work has appeared. */
  wakeRound(): void;
  wakeCommands(machine: Machine): void;
  /** The machine ought to be up, but nothing has been heard of it here. */
  inquire(machine: Machine): void;
  /** Shows the worker our token at once. */
  introduce(machine: Machine): void;
  /** Not while the machine's zone is on record as not answered. */
  mayStart(machine: Machine): boolean;
  /** The job's last word is on record. */
  ended(job: Job, end: EndRecord): void;
  /** A task ended badly. */
  failed(task: Task, reason: ExitReason): void;
}

/** Raised so often at most within one lease of a block. */
export const FENCES = 65_536;

/** Tokens stay exact as plain numbers; both parts are checked. */
export const tokenOf = (lease: BlockLease, machine: Machine): number => {
  if (machine.fence >= FENCES - 1 || lease.number >= 2 ** 36) throw new Error("token out of range");
  return lease.number * FENCES + machine.fence;
};

/** What answers to reports carry: where it is in doubt whether they get there, a token that nothing else shows. */
export const answerTokenOf = (lease: BlockLease, machine: Machine): number =>
  tokenOf(lease, machine) + (machine.reach.asked === null ? 0 : 1);

/** Some are kept back for starts that get lost before the block is taken under a fresh number. */
export const fencesLeft = (machine: Machine): boolean => machine.fence < FENCES - 1_000;

export const firstToken = (lease: BlockLease): number => lease.number * FENCES;

export const backOff = (failures: number, first: Micros, most: Micros): Micros =>
  Math.min(most, first * 2 ** Math.min(20, failures)) as Micros;
