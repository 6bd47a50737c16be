/**
 * The trace format, version 1 (docs/trace-format.md): JSON Lines, gzip allowed; a header, then events. All times are
 * whole microseconds, `at` counts from the trace's own beginning. The schemas below are what `whatif check` checks.
 */
import type { SiteSpec, Submission } from "../model/index.js";

export const TRACE_VERSION = 1;

/** A machine that is up when the trace begins. */
export interface StandingMachine {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export interface TraceHeader {
  readonly rainridgeTrace: typeof TRACE_VERSION;
  readonly source: "synth" | "recorded" | "converted" | "replayed";
  readonly clock: { readonly unit: "us"; readonly began: string | null };
  readonly site: SiteSpec;
  readonly standing: readonly StandingMachine[];
}

interface At {
  readonly at: number;
}
interface OfMachine extends At, StandingMachine {}

export interface SubmitEvent extends At {
  readonly event: "submit";
  readonly job: Submission;
  /** Time that each task runs; null: until it is stopped; absent: as its owner estimates, or as `task_end` tells. */
  readonly runUs?: number | null;
  /** By task number, where tasks differ. */
  readonly runsUs?: Readonly<Record<string, number>>;
  /** Fails wherever it starts. */
  readonly fails?: boolean;
  /** Submitted so long before the trace began: in flight at its start. */
  readonly beforeUs?: number;
  /** Jobs that it waits for: submitted when the last of them has ended, whenever that is in the replay. */
  readonly after?: readonly string[];
  /** So long after that end. */
  readonly pauseUs?: number;
}

export type TraceEvent =
  | SubmitEvent
  | (At & { readonly event: "abort"; readonly job: string })
  /** What a recorder saw of a task: tells its run time, is not replayed by itself. */
  | (At & { readonly event: "task_end"; readonly job: string; readonly index: number; readonly ranUs: number })
  /** A graph's step: tells what its job waited for, is not replayed by itself. */
  | (At & {
      readonly event: "follows";
      readonly job: string;
      readonly after: readonly string[];
      readonly pauseUs: number;
    })
  /** Told for the reader; which machines a replay has is for the policy to decide. */
  | (OfMachine & { readonly event: "machine_up" })
  /** `deleted` is the scheduler's own doing and is told only; the others are replayed. */
  | (OfMachine & { readonly event: "machine_down"; readonly why: "deleted" | "taken" | "failed" })
  /** Announced: the machine is to be empty, and is taken, after `withinUs`. */
  | (OfMachine & { readonly event: "machine_drain" | "machine_notice"; readonly withinUs: number })
  /** Hangs: executes nothing and says nothing, and may go on afterwards. */
  | (OfMachine & { readonly event: "machine_silent"; readonly forUs: number })
  | (OfMachine & { readonly event: "machine_faulty" })
  | (At & {
      readonly event: "boots_refused";
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly forUs: number;
    })
  | (At & { readonly event: "cloud_outage" | "state_outage"; readonly forUs: number })
  | (At & { readonly event: "controller_end"; readonly controller: number; readonly backAfterUs: number });

export type MachineTrouble = Extract<TraceEvent, StandingMachine>;

const us = { type: "integer", minimum: 0, maximum: Number.MAX_SAFE_INTEGER } as const;
const name = { type: "string", minLength: 1, maxLength: 200 } as const;
const amount = { type: "number", minimum: 0 } as const;
const names = { type: "array", items: name } as const;
const strict = (properties: object, optional: readonly string[] = []): object => ({
  type: "object",
  additionalProperties: false,
  properties,
  required: Object.keys(properties).filter((key) => !optional.includes(key)),
});
const orNull = (schema: object): object => ({ anyOf: [schema, { type: "null" }] });

export const siteSchema = {
  $id: "rainridge-site",
  ...strict({
    name,
    zones: { ...names, minItems: 1 },
    controllers: { ...names, minItems: 1, maxItems: 9 },
    teams: {
      type: "array",
      minItems: 1,
      items: strict({ name, cpus: amount, cpusMax: amount, gpus: amount, gpusMax: amount }),
    },
    types: {
      type: "array",
      minItems: 1,
      items: strict({
        name,
        cpus: { type: "number", exclusiveMinimum: 0 },
        gpus: amount,
        ramGb: amount,
        cacheGb: amount,
        fetchGbPerS: { type: "number", exclusiveMinimum: 0 },
        price: amount,
        spotPrice: amount,
        bootUs: us,
        zones: { ...names, minItems: 1 },
      }),
    },
    capacity: {
      type: "array",
      items: strict({ type: name, zone: name, spot: { type: "boolean" }, count: us }),
    },
    objectives: {
      type: "array",
      items: strict({
        kind: name,
        class: orNull(name),
        withinUs: orNull(us),
        share: { type: "number", minimum: 0, maximum: 1 },
      }),
    },
    workers: strict({ reportUs: { ...us, minimum: 1 }, leaseUs: us, cancelUs: us, gangWaitUs: us, gangPeerUs: us }),
    state: strict({
      rps: { type: "number", minimum: 1 },
      writeRps: { type: "number", minimum: 1 },
      valueKb: { type: "number", minimum: 1 },
      txnOps: { type: "integer", minimum: 4 },
    }),
    cloud: strict({ rps: { type: "number", minimum: 0.1 }, listLagUs: us }),
    quota: strict({
      cpuShare: amount,
      memMb: { type: "number", minimum: 1 },
      maxConnections: { type: "integer", minimum: 1 },
    }),
  }),
} as const;

const machine = { machine: name, type: name, zone: name, spot: { type: "boolean" } };

export const headerSchema = {
  $id: "rainridge-trace-header",
  ...strict({
    rainridgeTrace: { const: TRACE_VERSION },
    source: { enum: ["synth", "recorded", "converted", "replayed"] },
    clock: strict({ unit: { const: "us" }, began: orNull({ type: "string" }) }),
    site: { $ref: "rainridge-site" },
    standing: { type: "array", items: strict(machine) },
  }),
} as const;

export const jobSchema = {
  $id: "rainridge-job",
  ...strict(
    {
      ref: { type: "string", pattern: "^wk-[A-Za-z0-9_.-]{1,64}$" },
      jobclass: name,
      owner: name,
      shape: { enum: ["sweep", "ensemble", "daemon"] },
      rank: { enum: ["prod", "high", "normal", "best_effort"] },
      shards: { type: "integer", minimum: 1, maximum: 100_000 },
      cpus: amount,
      accelerators: amount,
      ramGb: amount,
      bundle: name,
      sizeGb: amount,
      flavors: orNull(names),
      area: orNull(name),
      together: { type: "boolean" },
      spread: { type: "boolean" },
      loaner: { type: "boolean" },
      guessS: amount,
      saveEveryS: amount,
      saveTakesS: amount,
      dueS: orNull(amount),
      awaits: names,
    },
    ["awaits"],
  ),
} as const;

const event = (kind: string | readonly string[], properties: object, optional: readonly string[] = []): object => ({
  ...strict({ at: us, event: typeof kind === "string" ? { const: kind } : { enum: kind }, ...properties }, optional),
});

/** By the event's name, so that a fault names its own field and not all the kinds that it is not. */
export const eventSchemas: Readonly<Record<TraceEvent["event"], object>> = {
  submit: event(
    "submit",
    {
      job: { $ref: "rainridge-job" },
      runUs: orNull(us),
      runsUs: { type: "object", propertyNames: { pattern: "^\\d{1,6}$" }, additionalProperties: us },
      fails: { type: "boolean" },
      beforeUs: us,
      after: names,
      pauseUs: us,
    },
    ["runUs", "runsUs", "fails", "beforeUs", "after", "pauseUs"],
  ),
  abort: event("abort", { job: name }),
  follows: event("follows", { job: name, after: names, pauseUs: us }),
  task_end: event("task_end", { job: name, index: us, ranUs: us }),
  machine_up: event("machine_up", machine),
  machine_down: event("machine_down", { ...machine, why: { enum: ["deleted", "taken", "failed"] } }),
  machine_drain: event("machine_drain", { ...machine, withinUs: us }),
  machine_notice: event("machine_notice", { ...machine, withinUs: us }),
  machine_silent: event("machine_silent", { ...machine, forUs: us }),
  machine_faulty: event("machine_faulty", machine),
  boots_refused: event("boots_refused", { type: name, zone: name, spot: { type: "boolean" }, forUs: us }),
  cloud_outage: event("cloud_outage", { forUs: us }),
  state_outage: event("state_outage", { forUs: us }),
  controller_end: event("controller_end", { controller: us, backAfterUs: us }),
};
