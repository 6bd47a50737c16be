import assert from "node:assert/strict";
import { test } from "node:test";
import { DependencyGraph } from "../src/cluster/dependency-graph.js";
import { JobApi } from "../src/coordination/api/job-api.js";
import type { Services } from "../src/coordination/context.js";
import { HostClock, S, World } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import type { KeyValueEntry } from "../src/protocol/key-value-store.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { encodeJobRecord } from "../src/storage/job-records.js";
import { jobKey, outcomeKey } from "../src/storage/keys.js";
import type { HttpResponse } from "../src/transport/http.js";
import { bigType, settingsText } from "./fixtures.js";
import { plainJob } from "./sim/cluster.js";

/**
 * A job API over a stubbed watch cache (`put` adds entries) and stubbed outcome records (`ended`, by key).
 * `storeUnavailable`: the watch cache cannot be synchronized with the key-value store.
 */
const doorOn = (ended: Readonly<Record<string, unknown>>, { away = false } = {}) => {
  const world = new World();
  const entries = new Map<string, KeyValueEntry>();
  const put = (key: string, value: unknown): void => {
    entries.set(key, { key, value, version: 7 });
  };
  const during: { lookUp: () => void } = { lookUp: () => undefined };
  const services = {
    clock: new HostClock(world, 1, 0),
    settings: parseSettings(settingsText(0)),
    log: { info: () => undefined, error: () => undefined },
    cache: { entries, loaded: true, sync: async () => !away },
    store: {
      get: async (key: string) => {
        during.lookUp();
        return key in ended ? { kind: "ok", value: { key, value: ended[key], version: 3 } } : { kind: "missing" };
      },
    },
    loadShedder: { atLeast: () => false },
    transactions: { userWriteDelay: 0, maxValueBytes: 8_192 },
    dependencies: new DependencyGraph(),
  } as unknown as Services;
  const types = new Map([["big", bigType(["east"])]]);
  const door = new JobApi(services, types, { taskCounts: () => null, isLeader: () => false, isWithdrawn: () => false });
  /** Advances the simulated time until the response arrives, because outcome lookups are rate-limited by the clock. */
  const handle = async (method: string, target: string, body = ""): Promise<HttpResponse> => {
    let over = false;
    const answered = door.handle({ method, target, body }).finally(() => {
      over = true;
    });
    while (!over) {
      await world.run(world.now + S, () => undefined);
      await new Promise(setImmediate);
    }
    return answered;
  };
  const submit = async (body: object): Promise<readonly [number, Record<string, unknown>]> => {
    const { status, body: text } = await handle("POST", "/v2/runs", JSON.stringify(body));
    return [status, JSON.parse(text) as Record<string, unknown>];
  };
  const ask = async (id: string): Promise<number> => (await handle("GET", `/v2/runs/${id}`)).status;
  return { put, during, submit, ask };
};

const JOB = plainJob("wk-000001");

test("a repeated submission of an accepted job gets the job's state, even if its specification is no longer valid", async () => {
  // Guards against rejecting the specification by the current machine types before looking up whether the job was
  // accepted earlier and has ended.
  const { submit } = doorOn({ [outcomeKey(JOB.ref)]: { phase: "done", done: 3 } });
  for (const odd of [
    { cpus: 100_000 },
    { flavors: ["gone"] },
    { bundle: "x".repeat(200), flavors: ["y".repeat(9_000)] },
  ]) {
    const [status, answer] = await submit({ ...JOB, ...odd });
    assert.deepEqual([status, answer.phase], [200, "done"]);
  }
});

test("a job that can never run is rejected with the reason, but only once it is known not to have been accepted", async () => {
  const never = doorOn({});
  assert.deepEqual(await never.submit({ ...JOB, cpus: 100_000 }), [
    422,
    { error: "a task fits no allowed machine type" },
  ]);
  assert.deepEqual(await never.submit({ ...JOB, owner: "nobody" }), [422, { error: "unknown team" }]);
  const away = doorOn({}, { away: true });
  assert.equal((await away.submit({ ...JOB, cpus: 100_000 }))[0], 503);
  // A missing field is reported without any lookup.
  const [status, answer] = await away.submit({ ...JOB, cpus: undefined });
  assert.equal(status, 400);
  assert.match(String(answer.error), /^cpus/);
});

test("a job that is accepted while its outcome record is looked up is found", async () => {
  const { put, during, ask } = doorOn({});
  assert.equal(await ask(JOB.ref), 404);
  during.lookUp = () =>
    put(jobKey(JOB.ref), encodeJobRecord({ spec: decodeSubmission(JOB), shard: 0, cancelled: false }));
  assert.equal(await ask(JOB.ref), 200);
});
