import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, truncateSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { gzipSync } from "node:zlib";
import { S } from "../src/model/index.js";
import { DEFAULT_OPTIONS, type TraceOptions } from "../src/settings/options.js";
import type { Micros } from "../src/transport/clock.js";
import {
  addLoad,
  applySettings,
  convert,
  FileRecorder,
  headerOf,
  parseSetting,
  parseTrace,
  type RecorderFiles,
  readSynthSpec,
  readTrace,
  synthesize,
  type TraceEvent,
  writeTrace,
} from "../src/whatif/index.js";
import { smallDay, smallSite, submitted, traceText } from "./whatif-fixtures.js";

const folder = (): string => mkdtempSync(join(tmpdir(), "rainridge-"));

test("a trace survives writing and reading, plain and packed", async () => {
  const dir = folder();
  const header = headerOf(smallSite(), "synth", "2026-03-14T00:00:00.000Z");
  for (const name of ["t.jsonl", "t.jsonl.gz"]) {
    const file = join(dir, name);
    await writeTrace(file, header, smallDay());
    const trace = await readTrace(file);
    assert.deepEqual(trace.header, header);
    assert.deepEqual(trace.events, smallDay());
    assert.deepEqual(trace.remarks, []);
    const first = readFileSync(file);
    await writeTrace(file, header, smallDay());
    assert.deepEqual(readFileSync(file), first);
  }
});

test("what is wrong with a trace is named by line and field", () => {
  const cases: [string, RegExp][] = [
    ['{"at":1,"event":"submit"}', /^trace:3: job: missing$/],
    ['{"at":-1,"event":"abort","job":"wk-1"}', /^trace:3: at: must be >= 0$/],
    ['{"at":1,"event":"abort","job":"wk-1","extra":1}', /^trace:3: extra: not a known field$/],
    ['{"at":1,"event":"dance"}', /^trace:3: event: unknown kind dance$/],
    ['{"at":1.5,"event":"state_outage","forUs":1}', /^trace:3: at: must be integer$/],
    ["[]", /^trace:3: not an object$/],
    ["{", /^trace:3: not JSON$/],
    [JSON.stringify(submitted(1, "wk-x")).replace('"shards":3', '"shards":0'), /^trace:3: job\.shards: must be >= 1$/],
  ];
  for (const [line, message] of cases) {
    const text = `${traceText([{ at: 0, event: "state_outage", forUs: 1 }])}${line}\n`;
    assert.throws(() => parseTrace(text), { message });
    // Asked to be lenient, it leaves the line out and says so.
    const trace = parseTrace(text, "trace", true);
    assert.equal(trace.events.length, 1);
    assert.equal(trace.remarks[0]?.line, 3);
  }
  assert.throws(() => parseTrace('{"rainridgeTrace":2}\n'), { message: /^trace:1: header: / });
  assert.throws(() => parseTrace(""), { message: "trace: empty" });
});

test("a last line cut at any place loses only itself", async () => {
  const events = smallDay();
  const text = traceText(events);
  const last = text.lastIndexOf("\n", text.length - 2) + 1;
  for (let end = last + 1; end < text.length - 1; end += 1) {
    const trace = parseTrace(text.slice(0, end));
    assert.equal(trace.events.length, events.length - 1);
    assert.match(trace.remarks[0]?.what ?? "", /cut off/);
  }
  // Without its last line break it is whole all the same.
  assert.equal(parseTrace(text.slice(0, -1)).events.length, events.length);
  const file = join(folder(), "t.jsonl.gz");
  const long = traceText(Array.from({ length: 3_000 }, (_, at) => submitted(at, `wk-${at}-${(at * 7919) % 4001}`)));
  const packed = gzipSync(long);
  writeFileSync(file, packed);
  truncateSync(file, Math.floor(packed.length * 0.7));
  const trace = await readTrace(file);
  assert.ok(trace.events.length > 500 && trace.events.length < 3_000, `${trace.events.length} events`);
  const whole = parseTrace(long).events;
  assert.deepEqual(trace.events, whole.slice(0, trace.events.length));
});

test("stepped clocks, duplicate events and recorded run times are put right, and said", () => {
  const [a, b, c] = [submitted(3, "wk-a"), submitted(1, "wk-b"), submitted(2, "wk-a")];
  const end = (index: number, s: number): TraceEvent => ({
    at: 9 * S,
    event: "task_end",
    job: "wk-b",
    index,
    ranUs: s * S,
  });
  const { runUs, ...open } = b as TraceEvent & { runUs: number };
  assert.equal(runUs, 10 * S);
  const abort: TraceEvent = { at: 4 * S, event: "abort", job: "wk-a" };
  const trace = parseTrace(traceText([a, open as TraceEvent, c, abort, abort, end(0, 4), end(2, 8)]));
  assert.deepEqual(
    trace.events.map((event) => [event.at / S, event.event]),
    [
      [1, "submit"],
      [2, "submit"],
      [4, "abort"],
    ],
  );
  const [first] = trace.events;
  assert.ok(first?.event === "submit");
  assert.deepEqual(first.runsUs, { 0: 4 * S, 2: 8 * S });
  // A task of which nothing is known takes what the others took.
  assert.equal(first.runUs, 6 * S);
  // Unless its job was cancelled: then it would have run on.
  const cut = parseTrace(traceText([open as TraceEvent, end(0, 4), { ...abort, job: "wk-b" }])).events[0];
  assert.deepEqual(cut?.event === "submit" && [cut.runUs, cut.runsUs], [null, { 0: 4 * S }]);
  assert.deepEqual(
    trace.remarks.map(({ what }) => what),
    ["time goes back 1 times: events sorted by their time", "2 events stand twice: the first counts"],
  );
});

test("changed settings reach what they name, and a wrong one is named", () => {
  const given = { site: smallSite(), options: {}, events: smallDay() };
  const set = (...texts: string[]) => applySettings(given, texts.map(parseSetting));
  assert.equal(set("kappa=0.2").options.kappa, 0.2);
  assert.equal(set("teams.capped.cpusMax=32").site.teams[1]?.cpusMax, 32);
  assert.equal(set("types.big.price=1.5").site.types[0]?.price, 1.5);
  const counts = set("capacity.big.east.spot=7").site.capacity.filter(({ count }) => count === 7);
  assert.deepEqual(counts, [{ type: "big", zone: "east", spot: true, count: 7 }]);
  const ranks = set("jobs.batch.rank=high").events.flatMap((e) => (e.event === "submit" ? [e.job.rank] : []));
  assert.deepEqual([...new Set(ranks)], ["prod", "high"]);
  // Nothing of what was given is changed.
  assert.equal(given.site.teams[1]?.cpusMax, 16);
  for (const [text, message] of [
    ["kappa=2", /^--set kappa: kappa: must be <= 1$/],
    ["teams.nobody.cpus=1", /^--set teams\.nobody\.cpus: no such setting$/],
    ["capacity.big.north.spot=1", /^--set capacity\.big\.north\.spot: no type big in zone north$/],
    ["jobs.batch.colour=red", /^--set jobs\.batch\.colour: not jobs/],
    ["jobs.nothing.rank=high", /no job or class nothing/],
    ["jobs.batch.rank=highest", /^--set jobs\.batch\.rank: rank: must be/],
    ["kappa", /not key=value/],
  ] as const) {
    assert.throws(() => set(text), { message });
  }
});

test("added load keeps its own names, begins when it is told to, and strangers are said", () => {
  const base = parseTrace(traceText([submitted(1, "wk-a"), submitted(50, "wk-b")]));
  const more = parseTrace(
    traceText([submitted(2, "wk-a", { owner: "guests" }), { at: 9 * S, event: "abort", job: "wk-a" }]),
  );
  const both = addLoad(base, more, 10 * S);
  assert.deepEqual(
    both.events.map((event) => [
      event.at / S,
      event.event === "submit" ? event.job.ref : "job" in event ? event.job : "",
    ]),
    [
      [1, "wk-a"],
      [12, "wk-a.2"],
      [19, "wk-a.2"],
      [50, "wk-b"],
    ],
  );
  assert.deepEqual(
    both.remarks.map(({ what }) => what),
    ["1 added jobs renamed, since their ids were taken", "added jobs of team guests, which the site does not have"],
  );
});

test("a drawn trace follows its distributions, repeats, and changes only where its specification does", () => {
  const spread = { kind: "lognormal", median: 20, p95: 60 } as const;
  const kind = {
    name: "batch",
    teams: ["open"],
    shape: "sweep",
    rank: "normal",
    initial: 3,
    perHour: [600, 60],
    tasks: { kind: "choice", values: [1, 4], weights: [1, 3] },
    runS: spread,
    servesS: null,
    cpus: 1,
    gpus: 0,
    ramGb: 2,
    images: { count: 4, gb: { kind: "constant", value: 1 }, zipf: 1 },
    estimateError: 0.2,
    vary: 0.1,
    cancelled: 0.1,
    due: { factor: 3, leastS: 30 },
    flavors: null,
    spread: false,
    together: false,
    loaner: true,
    saveEveryS: 0,
    saveTakesS: 0,
  };
  const whole = {
    seed: 4,
    hours: 2,
    site: smallSite(),
    standing: [],
    classes: [kind, { ...kind, name: "other" }],
    troubles: [],
  };
  const spec = readSynthSpec(whole, "spec");
  const { events } = synthesize(spec);
  assert.deepEqual(synthesize(spec).events, events);
  const jobs = events.flatMap((event) => (event.event === "submit" && event.job.jobclass === "batch" ? [event] : []));
  const early = jobs.filter(({ at }) => at < 3_600 * S).length;
  assert.ok(early > 520 && early < 690, `${early} in the first hour`);
  assert.ok(jobs.length - early > 35 && jobs.length - early < 90, `${jobs.length - early} in the second`);
  const runs = jobs.map(({ runUs }) => (runUs ?? 0) / S).sort((a, b) => a - b);
  const at = (share: number): number => runs[Math.floor(share * runs.length)] ?? 0;
  assert.ok(Math.abs(at(0.5) - 20) < 3 && Math.abs(at(0.95) - 60) < 15, `${at(0.5)} and ${at(0.95)}`);
  const first = jobs.filter(({ job }) => job.bundle === "batch-0").length / jobs.length;
  assert.ok(Math.abs(first - 0.48) < 0.08, `${first} of the jobs have the most popular image`);
  // Another class leaves this one's jobs as they were.
  const { events: others } = synthesize({
    ...spec,
    classes: [spec.classes[0], { ...spec.classes[1], cpus: 2 }] as never,
  });
  assert.deepEqual(
    others.filter((e) => e.event === "submit" && e.job.jobclass === "batch"),
    jobs,
  );
  const broken = { ...whole, classes: [{ ...kind, tasks: { kind: "lognormal", median: 3 } }] };
  assert.throws(() => readSynthSpec(broken, "spec"), { message: /^spec: classes\.0\.tasks.*p95: missing$/ });
  assert.throws(() => readSynthSpec({ ...whole, classes: [{ ...kind, teams: ["x"] }] }, "spec"), {
    message: /no team x/,
  });
});

const recorderWith = (options: Partial<TraceOptions>, change: Partial<RecorderFiles> = {}) => {
  const files = new Map<string, string>();
  const said: [string, unknown][] = [];
  let now = 5_000_000;
  const disk: RecorderFiles = {
    mkdir: async () => undefined,
    write: async (file, text) => files.set(file, text),
    append: async (file, text) => files.set(file, (files.get(file) ?? "") + text),
    rename: async (from, to) => {
      files.set(to, files.get(from) ?? "");
      files.delete(from);
    },
    remove: async (file) => files.delete(file),
    list: async () => [...files.keys()].map((file) => file.slice(file.lastIndexOf("/") + 1)),
    ...change,
  };
  const say = (event: string, fields?: unknown): void => {
    said.push([event, fields]);
  };
  const recorder = new FileRecorder(
    { now: () => now as Micros, after: () => ({ cancel: () => undefined }) },
    { error: say, info: say, debug: say },
    "ctl-0",
    { folder: "/traces", fileMb: 0.02, files: 3, ...options },
    () => headerOf(smallSite(), "recorded", "2026-03-14T00:00:00.000Z"),
    disk,
  );
  const tick = (us: number): void => {
    now += us;
  };
  return { recorder, files, said, tick };
};

test("a controller's trace is rotated, each file can be read alone, and the oldest go", async () => {
  const { recorder, files, tick } = recorderWith({});
  for (let round = 0; round < 60; round += 1) {
    for (let at = 0; at < 20; at += 1)
      recorder.take({ kind: "task done", job: `wk-${round}`, index: at, ran: S as Micros });
    tick(S);
    await recorder.flush();
  }
  assert.equal(files.size, 3);
  const numbers = [...files.keys()].map((name) => Number(/-(\d+)\.jsonl$/.exec(name)?.[1])).sort();
  // The newest ones, without a gap.
  assert.deepEqual(
    numbers,
    [0, 1, 2].map((back) => (numbers[0] ?? 0) + back),
  );
  assert.ok((numbers[0] ?? 0) > 1, "the oldest have gone");
  for (const text of files.values()) {
    assert.equal(parseTrace(text).header.source, "recorded");
    assert.ok(text.length < 30_000, `${text.length} bytes`);
  }
});

test("a disk that hangs or fails costs events, which are counted and said, and nothing else", async () => {
  let release = (): void => undefined;
  const held = new Promise<void>((resolve) => {
    release = resolve;
  });
  const { recorder, said } = recorderWith({}, { append: () => held });
  recorder.take({ kind: "job cancelled", job: "wk-1" });
  const first = recorder.flush();
  for (let at = 0; at < 25_000; at += 1) recorder.take({ kind: "job cancelled", job: `wk-${at}` });
  release();
  await first;
  assert.deepEqual(said.at(-1), ["trace events dropped", { dropped: 5_000, all: 5_000 }]);
  const full = recorderWith({}, { write: () => Promise.reject(new Error("ENOSPC")) });
  full.recorder.take({ kind: "job cancelled", job: "wk-1" });
  await full.recorder.flush();
  assert.deepEqual(
    full.said.map(([event]) => event),
    ["trace not written", "trace events dropped"],
  );
});

test("recordings of two controllers and a log become one trace in which each event counts once", async () => {
  const dir = folder();
  const file = (name: string): string => join(dir, name);
  const spec = { kind: "job cancelled", job: "wk-a" } as const;
  await writeTrace(file("a.jsonl"), headerOf(smallSite(), "recorded", "2026-03-14T00:00:00.000Z"), [
    submitted(1, "wk-a"),
    submitted(8, "wk-b"),
  ]);
  // The second took over and saw the first one's job again.
  await writeTrace(file("b.jsonl"), headerOf(smallSite(), "recorded", "2026-03-14T00:00:05.000Z"), [
    submitted(0, "wk-a"),
    submitted(9, "wk-c"),
  ]);
  const time = Date.parse("2026-03-14T00:00:20.000Z");
  writeFileSync(file("c.log"), `plain text\n${JSON.stringify({ time, msg: "seen", event: spec })}\n`);
  const { events, remarks } = await convert([file("a.jsonl"), file("b.jsonl"), file("c.log")], null);
  assert.deepEqual(
    events.map((event) => [event.at / S, event.event, event.event === "submit" ? event.job.ref : ""]),
    [
      [1, "submit", "wk-a"],
      [8, "submit", "wk-b"],
      [14, "submit", "wk-c"],
      [20, "abort", ""],
    ],
  );
  assert.ok(
    remarks.some(({ what }) => /stand twice/.test(what)) && remarks.some(({ what }) => /1 lines that tell/.test(what)),
  );
  await assert.rejects(convert([file("c.log")], null), { message: /--config/ });
  assert.equal(DEFAULT_OPTIONS.record, null);
});
