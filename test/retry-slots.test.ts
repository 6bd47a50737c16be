import assert from "node:assert/strict";
import { test } from "node:test";
import { JobApi } from "../src/coordination/api/job-api.js";
import type { Services } from "../src/coordination/context.js";
import { LoadShedder } from "../src/coordination/overload/load-shedder.js";
import { HostClock, Simulation } from "../src/model/index.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import type { HttpRequest } from "../src/transport/http.js";
import { bigType, settingsText } from "./fixtures.js";
import { plainJob } from "./sim/cluster.js";

test("deferred submissions get retry times at the full write rate, even while the current rate is reduced", async () => {
  // The first batches of three controllers together exceed the store's write limit, which at once cuts each one's rate
  // to a tenth. Retry times computed from the reduced rate were all ten seconds later, and a third of the writes went
  // unused until then.
  const clock = new HostClock(new Simulation(), 1, 0);
  const log = { error: () => undefined, info: () => undefined, debug: () => undefined };
  const services = {
    clock,
    log,
    settings: parseSettings(settingsText(0)),
    transactions: { userWriteDelay: 10_000_000, writesPerSecond: 2.5, fullWritesPerSecond: 25, maxValueBytes: 8_192 },
    cache: { loaded: true, entries: new Map() },
    loadShedder: new LoadShedder(clock, log, null),
  } as unknown as Services;
  const type = bigType(["east"]);
  const jobApi = new JobApi(services, new Map([[type.name, type]]), {
    taskCounts: () => null,
    isLeader: () => false,
    isCancelledIndirectly: () => false,
  });
  const waits: number[] = [];
  for (let at = 0; at < 40; at += 1) {
    const body = JSON.stringify(plainJob(`wk-${String(at).padStart(6, "0")}`));
    const request: HttpRequest = { method: "POST", target: "/v2/runs", body };
    const { status, retryAfterS } = await jobApi.handle(request);
    assert.equal(status, 503);
    waits.push(retryAfterS ?? 0);
  }
  const { controllers } = services.settings;
  // 40 retry slots at 25 writes per second shared by all controllers, the first slot after one second.
  assert.equal(Math.max(...waits), 1 + Math.ceil((39 * controllers) / 25));
  assert.equal(Math.min(...waits), 1);
});
