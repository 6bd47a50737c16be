import { Ajv } from "ajv";
import type { SiteSpec } from "../model/index.js";
import { DEFAULT_OPTIONS, type OperatorOptions, optionsSchema } from "../settings/options.js";
import { jobSchema, siteSchema, type TraceEvent } from "./format.js";
import { describe, type Trace, TraceError } from "./trace.js";

/** A changed value, as `--set key=value` gives it. Message of an error names the key. */
export interface Setting {
  readonly key: string;
  readonly value: unknown;
}

export const parseSetting = (text: string): Setting => {
  const at = text.indexOf("=");
  if (at <= 0) throw new TraceError(`--set ${text}: not key=value`);
  const raw = text.slice(at + 1);
  let value: unknown = raw;
  try {
    value = JSON.parse(raw);
  } catch {
    // A plain word stands for itself.
  }
  return { key: text.slice(0, at), value };
};

/** What a replay runs under: the trace's own, with changes. */
export interface Scenario {
  readonly site: SiteSpec;
  readonly options: OperatorOptions;
  readonly events: readonly TraceEvent[];
}

type Fields = Record<string, unknown>;

const isFields = (value: unknown): value is Fields =>
  typeof value === "object" && value !== null && !Array.isArray(value);

const jobFieldNames: readonly string[] = Object.keys((jobSchema as unknown as { properties: object }).properties);

/**
 * Sets a value at a path within the site. Lists of named things (teams, types) are walked by name; a capacity is
 * named by type, zone and kind. Throws where the path leads nowhere.
 */
const setInSite = (site: SiteSpec, { key, value }: Setting): SiteSpec => {
  const copy = structuredClone(site) as unknown as Fields;
  const path = key.split(".");
  if (path[0] === "capacity") {
    const [, type, zone, kind] = path;
    if (path.length !== 4 || (kind !== "spot" && kind !== "ordinary")) {
      throw new TraceError(`--set ${key}: not capacity.TYPE.ZONE.spot or .ordinary`);
    }
    const known = site.types.find(({ name }) => name === type);
    if (known === undefined || zone === undefined || !known.zones.includes(zone)) {
      throw new TraceError(`--set ${key}: no type ${type} in zone ${zone}`);
    }
    const others = site.capacity.filter(
      (entry) => entry.type !== type || entry.zone !== zone || entry.spot !== (kind === "spot"),
    );
    copy.capacity = [...others, { type, zone, spot: kind === "spot", count: value }];
    return copy as unknown as SiteSpec;
  }
  let here: unknown = copy;
  path.slice(0, -1).forEach((part) => {
    here = Array.isArray(here)
      ? here.find((entry) => isFields(entry) && (entry.name === part || entry.class === part))
      : isFields(here)
        ? here[part]
        : undefined;
  });
  const last = path.at(-1) ?? "";
  if (!isFields(here) || !Object.hasOwn(here, last)) throw new TraceError(`--set ${key}: no such setting`);
  here[last] = value;
  return copy as unknown as SiteSpec;
};

/** `jobs.CLASS.FIELD` changes the jobs of a class, `jobs.*.FIELD` those of all, `jobs.wk-1.FIELD` one. */
const setInJobs = (events: readonly TraceEvent[], { key, value }: Setting): readonly TraceEvent[] => {
  const [, whose, field] = /^jobs\.(.+)\.([A-Za-z]+)$/.exec(key) ?? [];
  if (field === undefined || !jobFieldNames.includes(field) || field === "ref") {
    throw new TraceError(`--set ${key}: not jobs.CLASS.FIELD with a field of a job`);
  }
  let count = 0;
  const changed = events.map((event): TraceEvent => {
    if (event.event !== "submit") return event;
    if (whose !== "*" && event.job.jobclass !== whose && event.job.ref !== whose) return event;
    count += 1;
    return { ...event, job: { ...event.job, [field]: value } };
  });
  if (count === 0) throw new TraceError(`--set ${key}: no job or class ${whose} in the trace`);
  return changed;
};

/** Applies changes in turn and checks what comes of them; the first that is wrong is named. */
export const applySettings = (
  scenario: {
    readonly site: SiteSpec;
    readonly options: Partial<OperatorOptions>;
    readonly events: readonly TraceEvent[];
  },
  settings: readonly Setting[],
): Scenario => {
  const ajv = new Ajv({ allowUnionTypes: true });
  const siteOk = ajv.compile<SiteSpec>(siteSchema);
  const optionsOk = ajv.compile<Partial<OperatorOptions>>(optionsSchema);
  const jobOk = ajv.compile(jobSchema);
  let { site, events } = scenario;
  let options: OperatorOptions = { ...DEFAULT_OPTIONS, ...scenario.options };
  for (const setting of settings) {
    const { key, value } = setting;
    if (Object.hasOwn(DEFAULT_OPTIONS, key)) {
      const next: unknown = { ...options, [key]: value };
      if (!optionsOk(next)) throw new TraceError(`--set ${key}: ${describe(optionsOk.errors)}`);
      options = { ...DEFAULT_OPTIONS, ...next };
    } else if (key.startsWith("jobs.")) {
      events = setInJobs(events, setting);
      for (const event of events) {
        if (event.event === "submit" && !jobOk(event.job)) {
          throw new TraceError(`--set ${key}: ${describe(jobOk.errors)}`);
        }
      }
    } else {
      const next: unknown = setInSite(site, setting);
      if (!siteOk(next)) throw new TraceError(`--set ${key}: ${describe(siteOk.errors)}`);
      site = next;
    }
  }
  return { site, options, events };
};

const rename = (event: TraceEvent, names: ReadonlyMap<string, string>): TraceEvent => {
  if (event.event === "submit") {
    const ref = names.get(event.job.ref);
    const renamed = ref === undefined ? event : { ...event, job: { ...event.job, ref } };
    if (event.after === undefined) return renamed;
    return { ...renamed, after: event.after.map((job) => names.get(job) ?? job) };
  }
  if (event.event !== "abort" && event.event !== "task_end") return event;
  const job = names.get(event.job);
  return job === undefined ? event : { ...event, job };
};

/** Adds a second trace's events, begun `shiftUs` after the first: two loads in the same night. */
export const addLoad = (base: Trace, added: Trace, shiftUs: number): Trace => {
  const taken = new Set(base.events.flatMap((event) => (event.event === "submit" ? [event.job.ref] : [])));
  const names = new Map<string, string>();
  for (const event of added.events) {
    if (event.event !== "submit" || !taken.has(event.job.ref)) continue;
    let number = 2;
    while (taken.has(`${event.job.ref}.${number}`)) number += 1;
    names.set(event.job.ref, `${event.job.ref}.${number}`);
    taken.add(`${event.job.ref}.${number}`);
  }
  const teams = new Set(base.header.site.teams.map(({ name }) => name));
  const strangers = new Set(
    added.events.flatMap((event) => (event.event === "submit" && !teams.has(event.job.owner) ? [event.job.owner] : [])),
  );
  const remarks = [
    ...base.remarks,
    ...added.remarks,
    ...(names.size > 0 ? [{ line: 0, what: `${names.size} added jobs renamed, since their ids were taken` }] : []),
    ...[...strangers].map((team) => ({ line: 0, what: `added jobs of team ${team}, which the site does not have` })),
  ];
  const later = added.events.map((event) => ({ ...rename(event, names), at: event.at + shiftUs }));
  const events = [...base.events, ...later].sort((a, b) => a.at - b.at);
  return { header: base.header, events, remarks };
};
