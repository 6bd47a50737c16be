import assert from "node:assert/strict";
import { test } from "node:test";
import { decodePlan, encodePlan, loadDescription, type Plan } from "../src/graphs/index.js";

const { compile, GraphError, placedText, readDocument, readText, TemplateError, Templates } = await loadDescription();

const BOUNDS = { mostSteps: 20_000, pools: { gate: 2 } };
const HEAD = `dag_id: night
owner: open
default_args:
  job: {jobclass: batch, cpus: 1, ramGb: 1, bundle: img, sizeGb: 0.1, guessS: 5}
`;

const planOf = (text: string, params: Readonly<Record<string, unknown>> = {}): Plan =>
  compile(readDocument(readText(text).value), { id: "dr-1", ds: "2026-03-04", params }, BOUNDS);

/** The text for the user about the first problem; empty: none. */
const firstProblem = (text: string, params: Readonly<Record<string, unknown>> = {}): string => {
  let place: ReturnType<typeof readText>["place"] | null = null;
  try {
    const read = readText(text);
    place = read.place;
    compile(readDocument(read.value), { id: "dr-1", ds: "2026-03-04", params }, BOUNDS);
  } catch (error) {
    if (!(error instanceof GraphError)) throw error;
    const [first] = error.problems;
    if (first === undefined) throw error;
    return placedText("f.yaml", place === null ? { ...first, line: null, column: null } : place(first));
  }
  return "";
};

const edges = (plan: Plan): string =>
  plan.steps.flatMap((step) => step.upstream.map((up) => `${plan.steps[up]?.id}>${step.id}`)).join(" ");

test("dependencies, groups and mapping give the edges that Airflow gives", () => {
  const plan = planOf(`${HEAD}
params: {stations: [n, s]}
dependencies: ["a >> [b, c] >> d", "g << d"]
tasks:
  - {task_id: d}
  - {task_id: a}
  - {task_id: b}
  - {task_id: c, expand: {station: stations}, job: {bundle: "img-{{ map.station }}"}}
task_groups:
  - group_id: g
    dependencies: ["x >> y"]
    tasks: [{task_id: x}, {task_id: y}, {task_id: z}]
`);
  const expected = ["a>b", "a>c[0]", "a>c[1]", "b>d", "c[0]>d", "c[1]>d", "d>g.x", "d>g.z", "g.x>g.y"];
  assert.deepEqual(edges(plan).split(" ").sort(), expected);
  assert.deepEqual(
    plan.jobs.map(({ bundle }) => bundle),
    ["img", "img-n", "img-s"],
  );
});

test("a stored plan decodes to the same plan, and small differences change its digest", () => {
  const plan = planOf(`${HEAD}tasks: [{task_id: a, retries: 2, pool: gate}, {task_id: b, upstream: [a]}]`);
  const { text, digest } = encodePlan(plan);
  assert.deepEqual(decodePlan(text), plan);
  const other = planOf(`${HEAD}tasks: [{task_id: a, retries: 1, pool: gate}, {task_id: b, upstream: [a]}]`);
  assert.notEqual(encodePlan(other).digest, digest);
});

test("a problem is reported in one line with file, line, column and field", () => {
  const cases: readonly (readonly [string, string])[] = [
    [`${HEAD}tasks:\n  - {task_id: a}\n  - {task_id: a}\n`, "f.yaml:7:15: tasks[1].task_id: a is there already"],
    [
      `${HEAD}tasks:\n  - {task_id: a, upstream: [c]}\n  - {task_id: b, upstream: [a]}\n  - {task_id: c, upstream: [b]}\n`,
      "f.yaml:6:5: tasks[0]: cycle: a >> b >> c >> a",
    ],
    [`${HEAD}tasks:\n  - {task_id: a, upstream: [nope]}\n`, "f.yaml:6:29: tasks[0].upstream[0]: no task or group nope"],
    [
      `${HEAD}tasks:\n  - {task_id: a, empty: true}\n  - {task_id: b, upstream: [a], trigger_rule: one_failed}\n`,
      "f.yaml:7:47: tasks[1].trigger_rule: one_failed can never be met for b",
    ],
    [`${HEAD}tasks:\n  - {task_id: a/b}\n`, "f.yaml:6:15: tasks[0].task_id: must look like ^[A-Za-z0-9_.-]{1,100}$"],
    [`${HEAD}tasks:\n  - {task_id: a, pool: far}\n`, "f.yaml:6:24: tasks[0].pool: no pool far"],
    [`${HEAD}tasks:\n  - {task_id: a, retrys: 1}\n`, "f.yaml:6:26: tasks[0].retrys: no such field"],
    [
      `${HEAD}tasks:\n  - {task_id: a, job: {cpus: "{{ params.n }}"}}\n`,
      "f.yaml:6:30: tasks[0].job.cpus: a name in {{ params.n }} is undefined",
    ],
    [`${HEAD}tasks:\n  - {task_id: a, job: {cpus: "{{ who }}"}}\n`, "f.yaml:6:30: tasks[0].job.cpus: who is undefined"],
    [
      `${HEAD}tasks:\n  - {task_id: a, job: {shape: daemon}}\n`,
      "f.yaml:6:31: tasks[0].job.shape: must be one of sweep, ensemble",
    ],
    [`dag_id: x\nowner: o\ntasks: [{task_id: a}]\n`, "f.yaml:3:9: tasks[0].job.cpus: not an amount"],
    [
      `${HEAD}dependencies: ["[a, b] >> [a, b]"]\ntasks: [{task_id: a}, {task_id: b}]\n`,
      "f.yaml:5:16: dependencies[0]: a list can't depend on a list: put an empty task between them",
    ],
    ["dag_id: x\n  owner: [", "f.yaml: line 1, column 9: Nested mappings are not allowed in compact mappings"],
  ];
  for (const [text, expected] of cases) assert.equal(firstProblem(text), expected);
});

test("unknown, missing and out-of-range params are refused", () => {
  const text = `${HEAD}params: {n: {type: integer, maximum: 9}, m: 1}\ntasks: [{task_id: a, job: {shards: "{{ params.n }}"}}]\n`;
  assert.equal(planOf(text, { n: 4 }).jobs[0]?.shards, 4);
  assert.match(firstProblem(text), /params\.n: has no default and is not given/);
  assert.match(firstProblem(text, { n: 10 }), /params\.n: must be <= 9/);
  assert.match(firstProblem(text, { n: 1, k: 1 }), /params\.k: no such param/);
});

test("a mapped task reads its params once, not once per step", () => {
  // With a copy of all params for each step, 20,000 steps over a list of 20,000 values took 22 s.
  let reads = 0;
  const list = new Proxy(
    Array.from({ length: 500 }, (_, at) => at),
    {
      get: (target, key, receiver): unknown => {
        reads += 1;
        return Reflect.get(target, key, receiver);
      },
    },
  );
  const text = `${HEAD}params: {l: []}\ntasks: [{task_id: a, expand: {x: l}, job: {bundle: "i-{{ map.x }}"}}]\n`;
  assert.equal(planOf(text, { l: list }).jobs.length, 500);
  assert.ok(reads < 500 * 10, `${reads} reads`);
});

test("params decide which steps branches and short circuits skip", () => {
  const text = `${HEAD}
params: {way: left, go: true}
tasks:
  - {task_id: fork, branch: "{{ params.way }}"}
  - {task_id: left, upstream: [fork]}
  - {task_id: right, upstream: [fork]}
  - {task_id: join, upstream: [left, right], trigger_rule: none_failed_min_one_success}
  - {task_id: gate, short_circuit: "{{ params.go }}", upstream: [join]}
  - {task_id: end, upstream: [gate]}
`;
  const cutsOf = (params: Readonly<Record<string, unknown>>): string => {
    const plan = planOf(text, params);
    return plan.steps.flatMap(({ id, cuts }) => cuts.map((at) => `${id}-${plan.steps[at]?.id}`)).join(" ");
  };
  assert.equal(cutsOf({}), "fork-right");
  assert.equal(cutsOf({ way: "right", go: "off" }), "fork-left gate-end");
  assert.match(firstProblem(text, { way: "up" }), /branch: up does not come right after fork/);
});

test("templates are limited to expressions over the given variables", () => {
  const templates = new Templates();
  const names = { params: Object.assign(Object.create(null), { x: "ab", n: 3 }), ds: "2026-03-04" };
  assert.equal(templates.render("{{ params.x | upper }}-{{ ds }}-{{ params.n + 1 }}", names), "AB-2026-03-04-4");
  const refused = [
    "{% for i in range(1000000000) %}x{% endfor %}",
    "{{ range(9) }}",
    "{{ ds.constructor }}",
    "{{ ds['constructor'] }}",
    "{{ params.x.constructor.constructor('return process')() }}",
    "{% include '/etc/passwd' %}",
    "{% set a = 1 %}",
    "{{ params.x | center(100000000) }}",
    "{{ params.x | replace('a', 'aaaaaaaaaa') }}",
    "{{ params.missing }}",
    "{{ params.x",
    "{{ __proto__ }}",
    "{% macro f() %}{{ f() }}{% endmacro %}",
  ];
  for (const text of refused) assert.throws(() => templates.render(text, names), TemplateError, text);
});

test("oversized and hostile definitions are refused by bounds on size, depth, aliases and dependencies", () => {
  const many = Array.from({ length: 100_000 }, (_, at) => ({ task_id: `t${at}` }));
  const large = readDocument({ dag_id: "x", owner: "open", tasks: many });
  assert.throws(() => compile(large, { id: "dr-1", ds: "2026-03-04", params: {} }, BOUNDS), /more than 20000 steps/);
  assert.match(firstProblem(`${HEAD}# ${"x".repeat(10 * 1_048_576)}`), /larger than 4 MiB/);
  const bomb = ["a: &a [x, x, x, x, x, x, x, x, x]"];
  for (let at = 0; at < 9; at += 1) {
    const [from, to] = [String.fromCharCode(97 + at), String.fromCharCode(98 + at)];
    bomb.push(`${to}: &${to} [${Array(9).fill(`*${from}`).join(", ")}]`);
  }
  assert.match(firstProblem(bomb.join("\n")), /alias/);
  assert.match(firstProblem("[".repeat(5_000)), /nested too deeply/);
  const cross = `${HEAD}params: {l: [${Array(3_000).fill(1).join(",")}]}
tasks:
  - {task_id: a, expand: {x: l}}
  - {task_id: b, expand: {x: l}, upstream: [a]}
`;
  assert.match(firstProblem(cross), /more than 200000 dependencies/);
});
