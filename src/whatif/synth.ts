import { Ajv } from "ajv";
import { randomExponential, randomLogNormal, randomNormal, randomPareto, randomUniform } from "d3-random";
import { Random, S, type SiteSpec, type Submission } from "../model/index.js";
import { type SubmitEvent, siteSchema, TRACE_VERSION, type TraceEvent, type TraceHeader } from "./format.js";
import { describe, TraceError } from "./trace.js";

/** How a quantity is spread. `least` and `most` cut it off. */
export type Spread =
  | { readonly kind: "constant"; readonly value: number }
  | { readonly kind: "uniform"; readonly least: number; readonly most: number }
  | { readonly kind: "exponential"; readonly mean: number; readonly least?: number; readonly most?: number }
  | {
      readonly kind: "lognormal";
      readonly median: number;
      readonly p95: number;
      readonly least?: number;
      readonly most?: number;
    }
  /** Long tails: every value is at least `least`; the smaller alpha, the longer the tail. */
  | { readonly kind: "pareto"; readonly least: number; readonly alpha: number; readonly most?: number }
  | { readonly kind: "choice"; readonly values: readonly number[]; readonly weights: readonly number[] };

export interface ClassSpec {
  readonly name: string;
  readonly teams: readonly string[];
  readonly shape: Submission["shape"];
  readonly rank: Submission["rank"];
  /** At the beginning, and arriving each hour, by hour of the trace (repeated when it is longer). */
  readonly initial: number;
  readonly perHour: readonly number[];
  readonly tasks: Spread;
  /** Seconds that a task runs; services run until they are cancelled. */
  readonly runS: Spread;
  /** Seconds after which a service is cancelled; null: never. */
  readonly servesS: Spread | null;
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
  readonly images: { readonly count: number; readonly gb: Spread; readonly zipf: number };
  /** The owner's estimate is off by this much in logarithms (0.3: mostly within a third). */
  readonly estimateError: number;
  /** Tasks of a job differ in the same way. */
  readonly vary: number;
  /** Share of jobs that their user cancels while they may still run. */
  readonly cancelled: number;
  /** Deadline as a multiple of the estimate, with a least time; null: none. */
  readonly due: { readonly factor: number; readonly leastS: number } | null;
  readonly flavors: readonly string[] | null;
  readonly spread: boolean;
  readonly together: boolean;
  readonly loaner: boolean;
  readonly saveEveryS: number;
  readonly saveTakesS: number;
}

/** Trouble at a set time; for machines, so many of a type, zone and kind at once. */
export type TroubleSpec =
  | {
      readonly event: "machine_drain" | "machine_notice" | "machine_silent" | "machine_faulty" | "machine_taken";
      readonly atS: number;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
      /** Time until the machine is taken, or for which it is silent. */
      readonly forS?: number;
    }
  | { readonly event: "cloud_outage" | "state_outage"; readonly atS: number; readonly forS: number }
  | {
      readonly event: "boots_refused";
      readonly atS: number;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly forS: number;
    }
  | { readonly event: "controller_end"; readonly atS: number; readonly controller: number; readonly forS: number };

export interface SynthSpec {
  readonly seed: number;
  readonly hours: number;
  readonly site: SiteSpec;
  readonly standing: readonly {
    readonly type: string;
    readonly zone: string;
    readonly spot: boolean;
    readonly count: number;
  }[];
  readonly classes: readonly ClassSpec[];
  readonly troubles: readonly TroubleSpec[];
}

const amount = { type: "number", minimum: 0 } as const;
const positive = { type: "number", exclusiveMinimum: 0 } as const;
const share = { type: "number", minimum: 0, maximum: 1 } as const;
const name = { type: "string", minLength: 1 } as const;
const flag = { type: "boolean" } as const;
const object = (properties: object, optional: readonly string[] = []): object => ({
  type: "object",
  additionalProperties: false,
  properties,
  required: Object.keys(properties).filter((key) => !optional.includes(key)),
});
const cut = { least: amount, most: positive };
const spreadSchema = {
  type: "object",
  required: ["kind"],
  discriminator: { propertyName: "kind" },
  oneOf: [
    object({ kind: { const: "constant" }, value: amount }),
    object({ kind: { const: "uniform" }, least: amount, most: positive }),
    object({ kind: { const: "exponential" }, mean: positive, ...cut }, ["least", "most"]),
    object({ kind: { const: "lognormal" }, median: positive, p95: positive, ...cut }, ["least", "most"]),
    object({ kind: { const: "pareto" }, least: positive, alpha: positive, most: positive }, ["most"]),
    object({
      kind: { const: "choice" },
      values: { type: "array", items: amount, minItems: 1 },
      weights: { type: "array", items: amount, minItems: 1 },
    }),
  ],
} as const;
const orNull = (schema: object): object => ({ anyOf: [{ type: "null" }, schema] });
const place = { type: name, zone: name, spot: flag };
const machineTrouble = { atS: amount, ...place, count: { type: "integer", minimum: 1 }, forS: amount };
const trouble = (event: string, properties: object, optional: readonly string[] = []): object =>
  object({ event: { const: event }, ...properties }, optional);

export const synthSchema = {
  $id: "rainridge-synth",
  ...object({
    seed: { type: "integer" },
    hours: { ...positive, maximum: 24 * 31 },
    site: { $ref: "rainridge-site" },
    standing: { type: "array", items: object({ ...place, count: { type: "integer", minimum: 1 } }) },
    classes: {
      type: "array",
      minItems: 1,
      items: object({
        name,
        teams: { type: "array", items: name, minItems: 1 },
        shape: { enum: ["sweep", "ensemble", "daemon"] },
        rank: { enum: ["prod", "high", "normal", "best_effort"] },
        initial: { type: "integer", minimum: 0 },
        perHour: { type: "array", items: amount, minItems: 1 },
        tasks: spreadSchema,
        runS: spreadSchema,
        servesS: orNull(spreadSchema),
        cpus: positive,
        gpus: amount,
        ramGb: amount,
        images: object({ count: { type: "integer", minimum: 1 }, gb: spreadSchema, zipf: amount }),
        estimateError: amount,
        vary: amount,
        cancelled: share,
        due: orNull(object({ factor: positive, leastS: amount })),
        flavors: orNull({ type: "array", items: name, minItems: 1 }),
        spread: flag,
        together: flag,
        loaner: flag,
        saveEveryS: amount,
        saveTakesS: amount,
      }),
    },
    troubles: {
      type: "array",
      items: {
        type: "object",
        required: ["event"],
        discriminator: { propertyName: "event" },
        oneOf: [
          trouble("machine_drain", machineTrouble),
          trouble("machine_notice", machineTrouble),
          trouble("machine_silent", machineTrouble),
          trouble("machine_faulty", machineTrouble, ["forS"]),
          trouble("machine_taken", machineTrouble, ["forS"]),
          trouble("cloud_outage", { atS: amount, forS: amount }),
          trouble("state_outage", { atS: amount, forS: amount }),
          trouble("boots_refused", { atS: amount, ...place, forS: amount }),
          trouble("controller_end", { atS: amount, controller: { type: "integer", minimum: 0 }, forS: amount }),
        ],
      },
    },
  }),
} as const;

/** Throws TraceError naming the field. */
export const readSynthSpec = (value: unknown, file: string): SynthSpec => {
  const validate = new Ajv({ discriminator: true }).addSchema(siteSchema).compile<SynthSpec>(synthSchema);
  if (!validate(value)) throw new TraceError(`${file}: ${describe(validate.errors)}`);
  for (const { name: label, teams } of value.classes) {
    const unknown = teams.find((team) => !value.site.teams.some((known) => known.name === team));
    if (unknown !== undefined) throw new TraceError(`${file}: classes ${label}: teams: no team ${unknown} in the site`);
  }
  return value;
};

/** Standard normal value below which 95% lie. */
const Z95 = 1.6448536269514722;

const drawer = (random: Random, spread: Spread): (() => number) => {
  const source = random.next;
  const bounded =
    (draw: () => number, least = 0, most = Number.MAX_VALUE): (() => number) =>
    () =>
      Math.min(most, Math.max(least, draw()));
  switch (spread.kind) {
    case "constant":
      return () => spread.value;
    case "uniform":
      return randomUniform.source(source)(spread.least, spread.most);
    case "exponential":
      return bounded(randomExponential.source(source)(1 / spread.mean), spread.least, spread.most);
    case "lognormal": {
      const mu = Math.log(spread.median);
      const sigma = Math.max(0, (Math.log(spread.p95) - mu) / Z95);
      return bounded(randomLogNormal.source(source)(mu, sigma), spread.least, spread.most);
    }
    case "pareto": {
      const draw = randomPareto.source(source)(spread.alpha);
      return bounded(() => spread.least * draw(), spread.least, spread.most);
    }
    case "choice": {
      const sum = spread.weights.reduce((total, weight) => total + weight, 0);
      return () => {
        let left = source() * sum;
        for (const [at, value] of spread.values.entries()) {
          left -= spread.weights[at] ?? 0;
          if (left < 0) return value;
        }
        return spread.values.at(-1) ?? 0;
      };
    }
  }
};

/** Seed of a stream of its own, so that a change to one class leaves the others' jobs as they are. */
const streamSeed = (seed: number, at: number): number => seed * 1_000 + at;

const LONGEST_CANCEL = 3_600;
const round3 = (value: number): number => Math.round(value * 1_000) / 1_000;

interface Drawn {
  readonly events: TraceEvent[];
}

const drawClass = (spec: SynthSpec, kind: ClassSpec, at: number): Drawn => {
  const random = new Random(streamSeed(spec.seed, at));
  const source = random.next;
  const endS = spec.hours * 3_600;
  const times: number[] = Array.from({ length: kind.initial }, () => source() * 2);
  // A Poisson process whose rate changes by the hour, by thinning.
  const peak = Math.max(...kind.perHour) / 3_600;
  if (peak > 0) {
    const gap = randomExponential.source(source)(peak);
    for (let time = gap(); time < endS; time += gap()) {
      const rate = (kind.perHour[Math.floor(time / 3_600) % kind.perHour.length] ?? 0) / 3_600;
      if (source() < rate / peak) times.push(time);
    }
  }
  const tasks = drawer(random, kind.tasks);
  const run = drawer(random, kind.runS);
  const serves = kind.servesS === null ? null : drawer(random, kind.servesS);
  const gb = drawer(random, kind.images.gb);
  const sizes = Array.from({ length: kind.images.count }, () => round3(gb()));
  const popular = drawer(random, {
    kind: "choice",
    values: sizes.map((_, image) => image),
    weights: sizes.map((_, image) => 1 / (image + 1) ** kind.images.zipf),
  });
  const off = randomNormal.source(source)(0, 1);
  const events: TraceEvent[] = [];
  times.forEach((time, number) => {
    const ref = `wk-${kind.name.replace(/[^A-Za-z0-9_.-]/g, "_").slice(0, 40)}-${String(number).padStart(6, "0")}`;
    const shards = Math.max(1, Math.min(100_000, Math.round(tasks())));
    const image = popular();
    const service = kind.shape === "daemon";
    const runS = Math.max(0.001, run());
    const guessS = service ? 0 : round3(runS * Math.exp(off() * kind.estimateError));
    const at = Math.round(time * S);
    const job: Submission = {
      ref,
      jobclass: kind.name,
      owner: random.pick(kind.teams),
      shape: kind.shape,
      rank: kind.rank,
      shards,
      cpus: kind.cpus,
      accelerators: kind.gpus,
      ramGb: kind.ramGb,
      bundle: `${kind.name}-${image}`,
      sizeGb: sizes[image] ?? 1,
      flavors: kind.flavors,
      area: null,
      together: kind.together,
      spread: kind.spread,
      loaner: kind.loaner,
      guessS,
      saveEveryS: kind.saveEveryS,
      saveTakesS: kind.saveTakesS,
      dueS: kind.due === null || service ? null : round3(Math.max(kind.due.leastS, kind.due.factor * guessS)),
    };
    const runsUs: Record<string, number> = {};
    if (!service && kind.vary > 0) {
      for (let task = 0; task < shards; task += 1) runsUs[task] = Math.round(runS * Math.exp(off() * kind.vary) * S);
    }
    const submit: SubmitEvent = {
      at,
      event: "submit",
      job,
      runUs: service ? null : Math.round(runS * S),
      ...(Object.keys(runsUs).length === 0 ? {} : { runsUs }),
    };
    events.push(submit);
    const cancelled = source() < kind.cancelled;
    const patience = source() * Math.min(LONGEST_CANCEL, service ? LONGEST_CANCEL : 2 * runS);
    const lives = serves?.() ?? null;
    if (service && lives !== null) events.push({ at: Math.round((time + lives) * S), event: "abort", job: ref });
    else if (cancelled) events.push({ at: Math.round((time + patience) * S), event: "abort", job: ref });
  });
  return { events };
};

const troubleEvents = (trouble: TroubleSpec, number: number): TraceEvent[] => {
  const at = Math.round(trouble.atS * S);
  const us = (seconds: number | undefined): number => Math.round((seconds ?? 0) * S);
  switch (trouble.event) {
    case "cloud_outage":
    case "state_outage":
      return [{ at, event: trouble.event, forUs: us(trouble.forS) }];
    case "boots_refused": {
      const { type, zone, spot } = trouble;
      return [{ at, event: "boots_refused", type, zone, spot, forUs: us(trouble.forS) }];
    }
    case "controller_end":
      return [{ at, event: "controller_end", controller: trouble.controller, backAfterUs: us(trouble.forS) }];
    default: {
      const { type, zone, spot } = trouble;
      return Array.from({ length: trouble.count }, (_, which): TraceEvent => {
        // Drawn machines have no name of their own: the replay finds one of the kind for each.
        const on = { at, machine: `trouble-${number}-${which}`, type, zone, spot };
        switch (trouble.event) {
          case "machine_drain":
          case "machine_notice":
            return { ...on, event: trouble.event, withinUs: us(trouble.forS) };
          case "machine_silent":
            return { ...on, event: "machine_silent", forUs: us(trouble.forS) };
          case "machine_faulty":
            return { ...on, event: "machine_faulty" };
          default:
            return { ...on, event: "machine_down", why: "taken" };
        }
      });
    }
  }
};

/** Draws a trace; same specification, same events. */
export const synthesize = (
  spec: SynthSpec,
): { readonly header: TraceHeader; readonly events: readonly TraceEvent[] } => {
  const events = [
    ...spec.classes.flatMap((kind, at) => drawClass(spec, kind, at).events),
    ...spec.troubles.flatMap(troubleEvents),
  ].sort((a, b) => a.at - b.at);
  let number = 0;
  const standing = spec.standing.flatMap(({ type, zone, spot, count }) =>
    Array.from({ length: count }, () => {
      number += 1;
      return { machine: `n-${String(number).padStart(6, "0")}`, type, zone, spot };
    }),
  );
  const header: TraceHeader = {
    rainridgeTrace: TRACE_VERSION,
    source: "synth",
    clock: { unit: "us", began: null },
    site: spec.site,
    standing,
  };
  return { header, events };
};
