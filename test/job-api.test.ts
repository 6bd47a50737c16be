import assert from "node:assert/strict";
import { test } from "node:test";
import { DependencyGraph } from "../src/cluster/dependency-graph.js";
import { JobApi } from "../src/coordination/api/job-api.js";
import type { Services } from "../src/coordination/context.js";
import { HostClock, S, Simulation } from "../src/model/index.js";
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
const makeJobApi = (ended: Readonly<Record<string, unknown>>, { storeUnavailable = false } = {}) => {
  const world = new Simulation();
  const entries = new Map<string, KeyValueEntry>();
  const put = (key: string, value: unknown): void => {
    entries.set(key, { key, value, version: 7 });
  };
  const hooks: { onLookup: () => void } = { onLookup: () => undefined };
  const services = {
    clock: new HostClock(world, 1, 0),
    settings: parseSettings(settingsText(0)),
    log: { info: () => undefined, error: () => undefined },
    cache: { entries, loaded: true, sync: async () => !storeUnavailable },
    store: {
      get: async (key: string) => {
        hooks.onLookup();
        return key in ended ? { kind: "ok", value: { key, value: ended[key], version: 3 } } : { kind: "missing" };
      },
    },
    loadShedder: { atLeast: () => false },
    transactions: { userWriteDelay: 0, maxValueBytes: 8_192 },
    dependencies: new DependencyGraph(),
  } as unknown as Services;
  const types = new Map([["big", bigType(["east"])]]);
  const jobApi = new JobApi(services, types, {
    taskCounts: () => null,
    isLeader: () => false,
    isCancelledIndirectly: () => false,
  });
  /** Advances the simulated time until the response arrives, because outcome lookups are rate-limited by the clock. */
  const handle = async (method: string, target: string, body = ""): Promise<HttpResponse> => {
    let responded = false;
    const response = jobApi.handle({ method, target, body }).finally(() => {
      responded = true;
    });
    while (!responded) {
      await world.run(world.now + S, () => undefined);
      await new Promise(setImmediate);
    }
    return response;
  };
  const submit = async (body: object): Promise<readonly [number, Record<string, unknown>]> => {
    const { status, body: text } = await handle("POST", "/v2/runs", JSON.stringify(body));
    return [status, JSON.parse(text) as Record<string, unknown>];
  };
  const getStatus = async (id: string): Promise<number> => (await handle("GET", `/v2/runs/${id}`)).status;
  return { put, hooks, submit, getStatus };
};

const JOB = plainJob("wk-000001");

test("a repeated submission of an accepted job gets the job's state, even if its specification is no longer valid", async () => {
  // Guards against rejecting the specification by the current machine types before looking up whether the job was
  // accepted earlier and has ended.
  const { submit } = makeJobApi({ [outcomeKey(JOB.ref)]: { phase: "done", done: 3 } });
  for (const changes of [
    { cpus: 100_000 },
    { flavors: ["gone"] },
    { bundle: "x".repeat(200), flavors: ["y".repeat(9_000)] },
  ]) {
    const [status, reply] = await submit({ ...JOB, ...changes });
    assert.deepEqual([status, reply.phase], [200, "done"]);
  }
});

test("a job that can never run is rejected with the reason, but only once it is known not to have been accepted", async () => {
  const rejecting = makeJobApi({});
  assert.deepEqual(await rejecting.submit({ ...JOB, cpus: 100_000 }), [
    422,
    { error: "a task fits no allowed machine type" },
  ]);
  assert.deepEqual(await rejecting.submit({ ...JOB, owner: "nobody" }), [422, { error: "unknown team" }]);
  const unavailable = makeJobApi({}, { storeUnavailable: true });
  assert.equal((await unavailable.submit({ ...JOB, cpus: 100_000 }))[0], 503);
  // A missing field is reported without any lookup.
  const [status, reply] = await unavailable.submit({ ...JOB, cpus: undefined });
  assert.equal(status, 400);
  assert.match(String(reply.error), /^cpus/);
});

test("a job that is accepted while its outcome record is looked up is found", async () => {
  const { put, hooks, getStatus } = makeJobApi({});
  assert.equal(await getStatus(JOB.ref), 404);
  hooks.onLookup = () =>
    put(jobKey(JOB.ref), encodeJobRecord({ spec: decodeSubmission(JOB), shard: 0, cancelled: false }));
  assert.equal(await getStatus(JOB.ref), 200);
});
