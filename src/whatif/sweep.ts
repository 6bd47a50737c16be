import { createHash } from "node:crypto";
import { closeSync, existsSync, fsyncSync, openSync, readFileSync, truncateSync, writeSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { Random } from "../model/index.js";
import { metricNamed } from "./metrics.js";
import type { Outcome } from "./outcome.js";
import { replayAll } from "./pool.js";
import { readChecked, type ScenarioSpec, scenarioSchema } from "./scenario.js";
import { TraceError } from "./trace.js";

/** One of the values, or drawn from a range; whole numbers stay whole. */
type Drawn =
  | { readonly values: readonly unknown[] }
  | { readonly least: number; readonly most: number; readonly log?: boolean; readonly whole?: boolean };

/** What a figure is worth: 0 at `worst`, 1 at `best`, in between by its place. */
export interface Aim {
  readonly metric: string;
  readonly worst: number;
  readonly best: number;
  readonly weight: number;
}

export interface SweepSpec {
  readonly scenario: ScenarioSpec;
  readonly seeds: readonly number[];
  readonly search:
    | { readonly kind: "grid"; readonly settings: Readonly<Record<string, readonly unknown[]>> }
    | {
        readonly kind: "random";
        readonly samples: number;
        readonly seed: number;
        readonly settings: Readonly<Record<string, Drawn>>;
      };
  readonly aims: readonly Aim[];
  /** Two figures to be plotted against each other. */
  readonly pareto: { readonly x: string; readonly y: string };
}

const text = { type: "string", minLength: 1 } as const;
const aim = {
  type: "object",
  additionalProperties: false,
  required: ["metric", "worst", "best", "weight"],
  properties: {
    metric: text,
    worst: { type: "number" },
    best: { type: "number" },
    weight: { type: "number", exclusiveMinimum: 0 },
  },
} as const;

export const sweepSchema = {
  $id: "rainridge-sweep",
  type: "object",
  additionalProperties: false,
  required: ["scenario", "seeds", "search", "aims", "pareto"],
  properties: {
    scenario: { $ref: "rainridge-scenario" },
    seeds: { type: "array", minItems: 1, uniqueItems: true, items: { type: "integer" } },
    search: {
      type: "object",
      required: ["kind", "settings"],
      additionalProperties: false,
      properties: {
        kind: { enum: ["grid", "random"] },
        samples: { type: "integer", minimum: 1, maximum: 10_000 },
        seed: { type: "integer" },
        settings: { type: "object", minProperties: 1 },
      },
    },
    aims: { type: "array", minItems: 1, items: aim },
    pareto: {
      type: "object",
      additionalProperties: false,
      required: ["x", "y"],
      properties: { x: text, y: text },
    },
  },
} as const;

/** Paths within the specification count from where it lies. */
export const readSweep = (file: string): SweepSpec => {
  const spec = readChecked<SweepSpec>(file, sweepSchema, [scenarioSchema]);
  const { search, scenario } = spec;
  for (const [key, value] of Object.entries(search.settings) as [string, unknown][]) {
    const range = value as { values?: unknown; least?: unknown; most?: unknown } | null;
    const listed = search.kind === "grid" ? Array.isArray(value) && value.length > 0 : Array.isArray(range?.values);
    const ranged = search.kind === "random" && typeof range?.least === "number" && typeof range.most === "number";
    if (!listed && !ranged) throw new TraceError(`${file}: search.settings.${key}: no values to choose from`);
  }
  if (search.kind === "random" && (search.samples === undefined || search.seed === undefined)) {
    throw new TraceError(`${file}: search: a random search needs samples and seed`);
  }
  return { ...spec, scenario: { ...scenario, trace: resolve(dirname(file), scenario.trace) } };
};

export interface Cell {
  readonly set: readonly string[];
  readonly seed: number;
}

const setting = (key: string, value: unknown): string =>
  `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`;

const drawOne = (random: Random, from: Drawn): unknown => {
  if ("values" in from) return random.pick(from.values);
  const { least, most, log, whole } = from;
  const at = random.next();
  const value = log === true ? least * (most / least) ** at : least + (most - least) * at;
  return whole === true ? Math.round(value) : Number(value.toPrecision(4));
};

/** All combinations, or so many random ones; the same specification gives the same cells in the same order. */
export const cellsOf = ({ search, seeds }: SweepSpec): readonly Cell[] => {
  let combinations: (readonly string[])[] = [[]];
  if (search.kind === "grid") {
    for (const [key, values] of Object.entries(search.settings)) {
      combinations = combinations.flatMap((set) => values.map((value) => [...set, setting(key, value)]));
    }
  } else {
    const random = new Random(search.seed);
    combinations = Array.from({ length: search.samples }, () =>
      Object.entries(search.settings).map(([key, from]) => setting(key, drawOne(random, from))),
    );
  }
  return combinations.flatMap((set) => seeds.map((seed) => ({ set, seed })));
};

export interface CellResult extends Cell {
  readonly figures: Readonly<Record<string, number | null>>;
}

const keyOf = ({ set, seed }: Cell): string => JSON.stringify([set, seed]);

/** Results as they come, one line each, on disk before the next cell counts as finished. */
export class ResultLog {
  readonly results: CellResult[] = [];
  private readonly handle: number;

  /** Takes up a log of the same specification; a line cut by a kill is taken off. Throws TraceError on another's. */
  constructor(file: string, spec: SweepSpec) {
    const digest = createHash("sha256").update(JSON.stringify(spec)).digest("hex");
    const header = JSON.stringify({ rainridgeSweep: 1, digest });
    if (existsSync(file)) {
      const content = readFileSync(file, "utf8");
      const whole = content.slice(0, content.lastIndexOf("\n") + 1);
      const [first = "", ...lines] = whole.split("\n").slice(0, -1);
      if (first !== "" && first !== header)
        throw new TraceError(`${file}: results of another specification; choose another --out`);
      for (const line of lines) this.results.push(JSON.parse(line) as CellResult);
      truncateSync(file, Buffer.byteLength(whole));
      this.handle = openSync(file, "a");
      if (first === "") this.append(header);
    } else {
      this.handle = openSync(file, "a");
      this.append(header);
    }
  }

  private append(line: string): void {
    writeSync(this.handle, `${line}\n`);
    fsyncSync(this.handle);
  }

  missing(cells: readonly Cell[]): readonly Cell[] {
    const known = new Set(this.results.map(keyOf));
    return cells.filter((cell) => !known.has(keyOf(cell)));
  }

  add(result: CellResult): void {
    this.append(JSON.stringify(result));
    this.results.push(result);
  }

  close(): void {
    closeSync(this.handle);
  }
}

const figuresOf = (spec: SweepSpec, outcome: Outcome): Record<string, number | null> => {
  const names = [...spec.aims.map(({ metric }) => metric), spec.pareto.x, spec.pareto.y, "cost", "late jobs"];
  const figures: Record<string, number | null> = {};
  for (const name of names) {
    const metric = metricNamed(name, [outcome]);
    if (metric === null) throw new TraceError(`aims: no figure called ${name}`);
    figures[name] = metric.of(outcome);
  }
  return figures;
};

/** Plays what is missing. Killed at any time, it goes on where it was: finished cells are not played again. */
export const sweep = async (
  spec: SweepSpec,
  log: ResultLog,
  threads: number | null,
  progress: (done: number, all: number) => void,
): Promise<void> => {
  const cells = cellsOf(spec);
  const missing = log.missing(cells);
  const { scenario } = spec;
  let done = cells.length - missing.length;
  progress(done, cells.length);
  await replayAll(
    missing.map(({ set, seed }) => ({ spec: { ...scenario, set: [...(scenario.set ?? []), ...set] }, seed })),
    threads,
    (at, outcome) => {
      const cell = missing[at];
      if (cell === undefined) return;
      log.add({ ...cell, figures: figuresOf(spec, outcome) });
      done += 1;
      progress(done, cells.length);
    },
  );
};

export interface SweepRow {
  readonly set: readonly string[];
  readonly seeds: number;
  /** Means over the seeds. */
  readonly figures: Readonly<Record<string, number | null>>;
  readonly worth: number;
  /** No other setting is at least as good in both figures of the Pareto plot and better in one. */
  readonly front: boolean;
}

const worthOf = (aims: readonly Aim[], figures: Readonly<Record<string, number | null>>): number => {
  let sum = 0;
  let weights = 0;
  for (const { metric, worst, best, weight } of aims) {
    const value = figures[metric];
    weights += weight;
    if (value === null || value === undefined || best === worst) continue;
    sum += weight * Math.min(1, Math.max(0, (value - worst) / (best - worst)));
  }
  return weights === 0 ? 0 : sum / weights;
};

/** One row a setting, the most worth first. */
export const rowsOf = (spec: SweepSpec, results: readonly CellResult[]): readonly SweepRow[] => {
  const groups = new Map<string, CellResult[]>();
  for (const result of results) {
    const key = JSON.stringify(result.set);
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(result);
  }
  const rows = [...groups.values()].map((group) => {
    const figures: Record<string, number | null> = {};
    for (const name of Object.keys(group[0]?.figures ?? {})) {
      const values = group.flatMap((result) => {
        const value = result.figures[name];
        return value === null || value === undefined ? [] : [value];
      });
      figures[name] = values.length === 0 ? null : values.reduce((sum, value) => sum + value, 0) / values.length;
    }
    return { set: group[0]?.set ?? [], seeds: group.length, figures, worth: worthOf(spec.aims, figures) };
  });
  // Which way is better, by the aims; else less.
  const sign = (metric: string): number => {
    const known = spec.aims.find((entry) => entry.metric === metric);
    return known !== undefined && known.best > known.worst ? -1 : 1;
  };
  const { x, y } = spec.pareto;
  const point = (row: { figures: Readonly<Record<string, number | null>> }): readonly [number, number] => [
    sign(x) * (row.figures[x] ?? Number.POSITIVE_INFINITY),
    sign(y) * (row.figures[y] ?? Number.POSITIVE_INFINITY),
  ];
  return rows
    .map((row) => {
      const [a, b] = point(row);
      const front = !rows.some((other) => {
        const [c, d] = point(other);
        return c <= a && d <= b && (c < a || d < b);
      });
      return { ...row, front };
    })
    .sort((a, b) => b.worth - a.worth || (JSON.stringify(a.set) < JSON.stringify(b.set) ? -1 : 1));
};
