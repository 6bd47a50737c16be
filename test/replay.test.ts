import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { HostClock, jobOf, type MachineObserver, noopObserver, S, Simulation, Site } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import {
  agreement,
  cellsOf,
  compare,
  formatTrace,
  headerOf,
  type Outcome,
  parseTrace,
  Recording,
  type ReplayRequest,
  ResultLog,
  readSweep,
  replayFaithfully,
  replayFast,
  rowsOf,
  SiteObserver,
  sweep,
  type TraceEvent,
  traceEventOf,
  writeTrace,
} from "../src/whatif/index.js";
import { Random } from "./random.js";
import { Checker, RuleViolation } from "./sim/checker.js";
import { plainJob, trueJob } from "./sim/cluster.js";
import { requestFor, smallDay, smallSite, submitted } from "./whatif-fixtures.js";

type Model = "faithful" | "fast";
const MODELS: readonly Model[] = ["faithful", "fast"];

/** Replays under the eyes of the checker of the rules. */
const replayed = async (model: Model, request: ReplayRequest): Promise<Outcome> => {
  let checker: Checker | null = null;
  const limits = new Map(request.site.teams.flatMap(({ name, cpusMax }) => (cpusMax > 0 ? [[name, cpusMax]] : [])));
  const witness = (now: () => number): MachineObserver => {
    const rules = new Checker(now, limits, request.site.workers.cancelUs);
    checker = rules;
    for (const event of request.events) {
      if (event.event !== "submit") continue;
      rules.jobs.set(event.job.ref, trueJob(event.job));
    }
    const told = request.witness?.(now) ?? noopObserver;
    return {
      ...told,
      taskOn: (task, machine) => rules.taskOn(task, machine),
      taskOff: (task, machine) => rules.taskOff(task, machine),
      taskDone: (task) => rules.taskDone(task),
    };
  };
  const check = (): void => (checker as Checker | null)?.tick();
  const watched = { ...request, witness };
  try {
    return model === "fast" ? replayFast(watched, check) : await replayFaithfully(watched, check);
  } catch (error) {
    if (error instanceof RuleViolation) throw new Error(`${model}: ${error.message}`, { cause: error });
    throw error;
  }
};

const bytes = (outcome: Outcome): string => JSON.stringify(outcome);

test("the same inputs give the same bytes, other luck gives others, and all jobs end as they ought to", async () => {
  for (const model of MODELS) {
    const first = await replayed(model, requestFor(smallDay()));
    assert.equal(bytes(await replayed(model, requestFor(smallDay()))), bytes(first), model);
    assert.notEqual(bytes(await replayed(model, requestFor(smallDay(), smallSite(), { seed: 2 }))), bytes(first));
    assert.equal(first.ended, "finished");
    const phases = Object.fromEntries(first.jobs.map(({ id, phase }) => [id, phase]));
    assert.deepEqual(phases, {
      "wk-web": "cancelled",
      "wk-a": "done",
      "wk-b": "done",
      "wk-gang": "done",
      "wk-c": "done",
      "wk-d": "cancelled",
      "wk-e": "done",
    });
    const causes = Object.values(first.byCause).reduce((sum, count) => sum + count, 0);
    assert.equal(causes, first.totals.starts);
    assert.ok(first.totals.cost > 0 && (first.totals.price ?? 0) >= 1, JSON.stringify(first.totals));
    assert.ok((first.totals.utilisation ?? 2) <= 1);
  }
});

test("the fast model tells about the same as the faithful one, job for job", async () => {
  const faithful = await replayed("faithful", requestFor(smallDay()));
  const fast = await replayed("fast", requestFor(smallDay()));
  assert.deepEqual(agreement(faithful, fast, 5 * S).disorders, []);
  for (const job of faithful.jobs) {
    const other = fast.jobs.find(({ id }) => id === job.id);
    assert.ok(other !== undefined);
    assert.ok(
      Math.abs((job.waitUs ?? 0) - (other.waitUs ?? 0)) < 6 * S,
      `${job.id}: ${job.waitUs} and ${other.waitUs}`,
    );
  }
});

test("replayed over another network, jobs finish in the same order", async () => {
  // What a run over real sockets differs by; the run itself takes real time and is not for here.
  const one = await replayed("faithful", requestFor(smallDay()));
  for (const turnSeed of [11, 12, 13]) {
    const other = await replayed("faithful", requestFor(smallDay(), smallSite(), { turnSeed }));
    const { agrees, disorders, jobs } = agreement(one, other, smallSite().workers.reportUs);
    assert.ok(agrees && jobs === 5, JSON.stringify(disorders));
  }
});

const troubles = (at: number): TraceEvent[] => {
  const on = { machine: "n-000001", type: "big", zone: "east", spot: false };
  return [
    { at, event: "machine_drain", ...on, withinUs: 10 * S },
    { at: at + 5 * S, event: "machine_down", ...on, machine: "n-000002", spot: true, why: "taken" },
    { at: at + 20 * S, event: "controller_end", controller: 0, backAfterUs: 3 * S },
    { at: at + 25 * S, event: "state_outage", forUs: 8 * S },
  ];
};

test("the replay of a recording of a replay is the replay", async () => {
  const request = requestFor([...smallDay(), ...troubles(12 * S)].sort((a, b) => a.at - b.at));
  for (const model of MODELS) {
    const recording = new Recording(request.header);
    const hooks = { onPlayed: recording.played, witness: (now: () => number) => recording.witness(now) };
    const first =
      model === "fast" ? replayFast({ ...request, ...hooks }) : await replayFaithfully({ ...request, ...hooks });
    assert.ok(recording.events.some(({ event }) => event === "machine_up"));
    const again = await replayed(model, { ...request, header: recording.header, events: recording.events });
    assert.equal(bytes(again), bytes(first), model);
  }
});

test("a trace keeps what jobs await, and both models replay it in that order", async () => {
  const events = [
    submitted(1, "wk-first", { shards: 2 }, 8),
    submitted(2, "wk-second", { shards: 2, awaits: ["wk-first"], rank: "best_effort" }, 6),
    submitted(3, "wk-last", { shards: 1, awaits: ["wk-first", "wk-second"], rank: "high", dueS: 90 }, 4),
  ];
  assert.deepEqual(parseTrace(formatTrace(requestFor(events).header, events)).events, events);
  for (const model of MODELS) {
    // The checker sees it where one begins too early.
    const { jobs } = await replayed(model, requestFor(events));
    assert.deepEqual(
      jobs.map(({ phase }) => phase),
      ["done", "done", "done"],
      model,
    );
  }
  // What a controller records of such a job is a submission that awaits the same.
  const spec = decodeSubmission(plainJob("wk-second", { awaits: ["wk-first"] }));
  const recorded = traceEventOf({ kind: "job seen", spec }, 5);
  assert.deepEqual(recorded.event === "submit" ? recorded.job.awaits : null, ["wk-first"]);
});

test("a drain at any point of the day, and events of one moment in any order, keep the rules", async () => {
  for (let second = 2; second <= 62; second += 6) {
    const events = [...smallDay(), ...troubles(second * S)].sort((a, b) => a.at - b.at);
    for (const model of MODELS) {
      const outcome = await replayed(model, requestFor(events));
      assert.equal(outcome.ended, "finished", `${model}, drain at ${second} s`);
      assert.equal(outcome.totals.done, 5);
    }
  }
  const random = new Random(5);
  for (let round = 0; round < 6; round += 1) {
    // Everything of ten seconds falls on one moment, in an order drawn anew.
    const events = smallDay()
      .map((event) => ({ event, at: Math.floor(event.at / (10 * S)) * 10 * S, order: random.next() }))
      .sort((a, b) => a.at - b.at || a.order - b.order)
      .map(({ event, at }) => ({ ...event, at }));
    for (const model of MODELS) assert.equal((await replayed(model, requestFor(events))).totals.done, 5);
  }
});

test("troubles of a smaller or other cluster fall on machines of the same type, and the rest is listed", async () => {
  const day = smallDay();
  const trouble = (machine: string, type: string, spot: boolean): TraceEvent => ({
    at: 20 * S,
    event: "machine_silent",
    machine,
    type,
    zone: "north",
    spot,
    forUs: 5 * S,
  });
  const events = [...day, trouble("x-1", "big", false), trouble("x-2", "gpu", false)].sort((a, b) => a.at - b.at);
  for (const model of MODELS) {
    const played: string[] = [];
    const onPlayed = (event: TraceEvent): void => {
      if (event.event === "machine_silent") played.push(`${event.machine} in ${event.zone}`);
    };
    const outcome = await replayed(model, requestFor(events, smallSite(), { onPlayed }));
    assert.equal(played.length, 1, model);
    assert.match(played[0] ?? "", /^n-\d+ in (east|west)$/);
    assert.deepEqual(
      outcome.unmatched.map(({ event, about }) => [event, about]),
      [["machine_silent", "x-2"]],
    );
    assert.match(outcome.unmatched[0]?.why ?? "", /no ordinary gpu up/);
  }
  const header = {
    ...headerOf(smallSite(), "recorded", null),
    standing: [
      { machine: "n-1", type: "big", zone: "east", spot: false },
      { machine: "n-2", type: "huge", zone: "east", spot: false },
    ],
  };
  const { remarks, totals } = await replayed("fast", requestFor(day, smallSite(), { header }));
  assert.deepEqual(
    remarks.map(({ what }) => what),
    ["n-2: no type huge in the site, left out"],
  );
  assert.ok(totals.machines > 1);
});

test("jobs that can never run, or never do, are told, and the replay ends", async () => {
  const events = [
    submitted(1, "wk-fine"),
    submitted(1, "wk-refused", { owner: "nobody" }),
    submitted(1, "wk-never", { flavors: ["small"], area: "west", dueS: 30 }),
    submitted(2, "wk-broken", { shards: 1 }, 5, { fails: true }),
  ];
  const site = smallSite();
  const capacity = site.capacity.filter(({ type, zone }) => type !== "small" || zone !== "west");
  for (const model of MODELS) {
    const outcome = await replayed(model, requestFor(events.slice(0, 3), smallSite({ capacity })));
    assert.equal(outcome.ended, "stuck", model);
    const phases = Object.fromEntries(outcome.jobs.map(({ id, phase }) => [id, phase]));
    assert.deepEqual(phases, { "wk-fine": "done", "wk-refused": "refused", "wk-never": "never started" });
    assert.equal(outcome.totals.neverStarted, 1);
    assert.ok((outcome.jobs.find(({ id }) => id === "wk-never")?.lateUs ?? 0) > 1_000 * S);
    const broken = await replayed(model, requestFor(events.slice(3), site, { untilUs: 300 * S }));
    assert.equal(broken.ended, "until");
    assert.ok(broken.totals.failed >= 3 && broken.endedUs === 300 * S, JSON.stringify(broken.totals));
  }
});

test("a job in flight when the trace begins counts its wait and deadline from when it was submitted", async () => {
  const inFlight = submitted(0, "wk-old", { dueS: 40 }, 10, { beforeUs: 60 * S });
  for (const model of MODELS) {
    const [job] = (await replayed(model, requestFor([inFlight]))).jobs;
    assert.equal(job?.submitUs, -60 * S);
    assert.equal(job?.dueUs, -20 * S);
    assert.ok((job?.waitUs ?? 0) > 60 * S && (job?.lateUs ?? 0) > 20 * S, JSON.stringify(job));
    const cut = await replayed(
      model,
      requestFor([submitted(1, "wk-long", { dueS: 15 }, 500)], smallSite(), { untilUs: 60 * S }),
    );
    assert.equal(cut.jobs[0]?.phase, "running");
    assert.equal(cut.jobs[0]?.lateUs, 44 * S);
  }
});

test("an image is fetched once for all that wait, and each of them then runs as its own job says", async () => {
  // The first job's run time used to hold for all that had waited for the same image.
  const events = [
    submitted(1, "wk-service", { shape: "daemon", rank: "prod", shards: 1, area: "east", cpus: 1 }, 0, { runUs: null }),
    submitted(1, "wk-short", { shards: 2, area: "east", cpus: 1 }, 5),
  ];
  const outcome = await replayed("faithful", requestFor(events, smallSite(), { untilUs: 60 * S }));
  assert.deepEqual(outcome.finishing, ["wk-short"]);
  assert.equal(outcome.jobs[0]?.phase, "serving");
});

const lateWith = (outcome: Outcome, seed: number, late: Readonly<Record<string, number>>, cost: number): Outcome => ({
  ...outcome,
  seed,
  totals: { ...outcome.totals, cost, late: Object.values(late).filter((us) => us > 0).length },
  jobs: outcome.jobs.map((job) => ({ ...job, lateUs: late[job.id] ?? 0 })),
});

test("a comparison tells who becomes late, who no longer is, and whether a difference is more than luck", async () => {
  const outcome = await replayed("fast", requestFor(smallDay()));
  const seeds = [1, 2, 3, 4, 5, 6];
  const before = seeds.map((seed) => lateWith(outcome, seed, { "wk-a": 5 * S }, 1 + seed / 10));
  const after = seeds.map((seed) => lateWith(outcome, seed, { "wk-b": seed === 1 ? 0 : 9 * S }, 0.8 + seed / 10));
  const { rows, changes } = compare(
    [
      { name: "x", outcomes: before },
      { name: "y", outcomes: after },
    ],
    seeds,
  );
  const row = (name: string) => rows.find(({ metric }) => metric === name);
  assert.deepEqual(row("cost")?.verdicts, [null, "better"]);
  assert.ok(Math.abs((row("cost")?.differences[1]?.mean ?? 0) + 0.2) < 1e-9);
  assert.deepEqual(row("machines rented")?.verdicts, [null, "no difference shown"]);
  assert.deepEqual(
    changes.map(({ becomesLate, noLongerLate }) =>
      [becomesLate, noLongerLate].map((list) => list.map(({ job }) => job)),
    ),
    [[["wk-b"], ["wk-a"]]],
  );
  assert.equal(changes[0]?.becomesLate[0]?.lateByUs, 9 * S);
  // One seed shows nothing, however large the difference.
  const [one, two] = [before.slice(0, 1), after.slice(0, 1)];
  const single = compare(
    [
      { name: "x", outcomes: one },
      { name: "y", outcomes: two },
    ],
    [1],
  ).rows[0];
  assert.deepEqual(single?.verdicts, [null, "no difference shown"]);
});

test("a sweep that was killed goes on without repeating what had finished", async () => {
  const dir = mkdtempSync(join(tmpdir(), "rainridge-"));
  const [trace, file, out] = ["t.jsonl", "sweep.json", "results.jsonl"].map((name) => join(dir, name)) as [
    string,
    string,
    string,
  ];
  await writeTrace(trace, headerOf(smallSite(), "synth", null), smallDay());
  const given = {
    scenario: { trace: "t.jsonl", mode: "fast" },
    seeds: [1, 2],
    search: { kind: "grid", settings: { kappa: [0.1, 1], headroom: [0, 3] } },
    aims: [
      { metric: "price", worst: 10, best: 1, weight: 1 },
      { metric: "starts in time", worst: 0, best: 1, weight: 1 },
    ],
    pareto: { x: "price", y: "starts in time" },
  };
  writeFileSync(file, JSON.stringify(given));
  const spec = readSweep(file);
  assert.equal(cellsOf(spec).length, 8);
  const run = async (): Promise<{ played: number; log: ResultLog }> => {
    const log = new ResultLog(out, spec);
    const known = log.results.length;
    await sweep(spec, log, 2, () => undefined);
    log.close();
    return { played: log.results.length - known, log };
  };
  const whole = await run();
  assert.equal(whole.played, 8);
  const lines = readFileSync(out, "utf8").split("\n");
  // Killed in the middle of writing the fifth result.
  writeFileSync(out, `${lines.slice(0, 5).join("\n")}\n${lines[5]?.slice(0, 20)}`);
  const rest = await run();
  assert.equal(rest.played, 4);
  const sorted = (log: ResultLog): string[] => log.results.map((result) => JSON.stringify(result)).sort();
  assert.deepEqual(sorted(rest.log), sorted(whole.log));
  const rows = rowsOf(spec, rest.log.results);
  assert.equal(rows.length, 4);
  assert.ok(rows.some(({ front }) => front) && rows.every(({ seeds }) => seeds === 2));
  assert.ok((rows[0]?.worth ?? 0) >= (rows[3]?.worth ?? 1));
  writeFileSync(file, JSON.stringify({ ...given, seeds: [3] }));
  assert.throws(() => new ResultLog(out, readSweep(file)), { message: /another specification/ });
  writeFileSync(
    file,
    JSON.stringify({ ...given, search: { kind: "random", settings: { kappa: { least: 0.1, most: 1 } } } }),
  );
  assert.throws(() => readSweep(file), { message: /needs samples and seed/ });
});

test("a site watched from outside gives a trace with its jobs, cancellations and run times", async () => {
  const spec = smallSite();
  const quiet = { error: () => undefined, info: () => undefined, debug: () => undefined };
  const nothing = (): undefined => undefined;
  const hearing = {
    submitted: nothing,
    polled: nothing,
    cancelAsked: nothing,
    cancelAnswered: nothing,
    dropped: nothing,
  };
  const watch = () => ({ witness: noopObserver, hearing, log: nothing });
  const site = new Site({ spec, options: DEFAULT_OPTIONS, seed: 3, watch });
  const clock = new HostClock(site.world, 1, 0);
  const seen: string[] = [];
  const runs: number[] = [];
  const { settingsOf, simulatedAddresses } = await import("../src/model/index.js");
  const settings = settingsOf(spec, simulatedAddresses(3), 0);
  const http = site.network.client("observer", clock);
  const observer = new SiteObserver(
    http,
    clock,
    quiet,
    settings,
    () => 0.5,
    (event) => {
      seen.push(
        event.kind === "job seen"
          ? `job ${event.spec.id}`
          : event.kind === "job cancelled"
            ? `end ${event.job}`
            : event.kind,
      );
      if (event.kind === "task done") runs.push(event.ran / S);
    },
  );
  void observer.start();
  for (const event of smallDay()) {
    site.world.at(event.at, () => {
      if (event.event === "submit") site.submit(event.job, { runUs: event.runUs ?? null });
      if (event.event === "abort") site.users.cancel(event.job);
    });
  }
  await site.world.run(130 * S, nothing);
  const jobs = seen.filter((what) => what.startsWith("job ")).sort();
  assert.deepEqual(
    jobs,
    ["a", "b", "c", "d", "e", "gang", "web"].map((name) => `job wk-${name}`),
  );
  assert.deepEqual(
    seen.filter((what) => what.startsWith("end ")),
    ["end wk-d", "end wk-web"],
  );
  assert.equal(runs.length, 33);
  assert.ok(
    runs.every((run) => run > 4 && run < 60),
    runs.join(),
  );
  assert.ok(seen.includes("machine up"));
});

test("what a running site's controllers record is replayed in the order in which its jobs really finished", async () => {
  const spec = smallSite();
  const events: TraceEvent[] = [];
  const finished: [string, number][] = [];
  const left = new Map(smallDay().flatMap((e) => (e.event === "submit" ? [[e.job.ref, e.job.shards] as const] : [])));
  const nothing = (): undefined => undefined;
  const hearing = {
    submitted: nothing,
    polled: nothing,
    cancelAsked: nothing,
    cancelAnswered: nothing,
    dropped: nothing,
  };
  const errors: string[] = [];
  const site = new Site({
    spec,
    options: DEFAULT_OPTIONS,
    seed: 5,
    watch: (world) => ({
      witness: {
        ...noopObserver,
        taskDone: (task) => {
          const job = jobOf(task);
          left.set(job, (left.get(job) ?? 0) - 1);
          if (left.get(job) === 0) finished.push([job, world.now]);
        },
      },
      hearing,
      log: (level, _, event) => {
        if (level === "error") errors.push(event);
      },
      sink: (event) => events.push(traceEventOf(event, Math.round(world.now))),
    }),
  });
  for (const event of [...smallDay(), ...troubles(30 * S)]) {
    site.world.at(event.at, () => {
      if (event.event === "submit") site.submit(event.job, { runUs: event.runUs ?? null });
      if (event.event === "abort") site.users.cancel(event.job);
      if (event.event === "controller_end") site.crash(event.controller, event.backAfterUs);
      if (event.event === "state_outage") site.state.outage(event.forUs);
    });
  }
  await site.world.run(160 * S, nothing);
  assert.deepEqual(errors, []);
  const remarks: string[] = [];
  const text = formatTrace(headerOf(spec, "recorded", null), events);
  const trace = parseTrace(text);
  remarks.push(...trace.remarks.map(({ what }) => what));
  const outcome = await replayed("faithful", requestFor(trace.events, spec, { seed: 5 }));
  assert.deepEqual(
    outcome.finishing,
    finished.sort((a, b) => a[1] - b[1]).map(([job]) => job),
    JSON.stringify(remarks),
  );
  for (const [job, at] of finished) {
    const gap = Math.abs((outcome.jobs.find(({ id }) => id === job)?.finishUs ?? 0) - at) / S;
    assert.ok(gap < 4, `${job}: ${gap} s apart`);
  }
  // The job that was cancelled is cancelled, and the outage is there.
  assert.ok(trace.events.some(({ event }) => event === "abort"));
});

test("an event's promises are all kept before the next event, however long their chain", async () => {
  // The queue used to wait for a turn of the event loop after each event, which took most of a run.
  const world = new Simulation();
  const order: number[] = [];
  for (let at = 1; at <= 3; at += 1) {
    world.at(at, () => {
      let chain = Promise.resolve();
      for (let step = 0; step < 500; step += 1) chain = chain.then(() => undefined);
      void chain.then(() => order.push(at));
    });
    world.at(at + 0.5, () => order.push(at + 0.5));
  }
  await world.run(10, () => undefined);
  assert.deepEqual(order, [1, 1.5, 2, 2.5, 3, 3.5]);
});
