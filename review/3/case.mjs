// A job with a long list of jobs to wait for is accepted while a restarted controller reads the records, page by page.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../lib/http.mjs";
import { CHUUGATA, deployment, KOGATA, plan, STATE, WORKERS, zoneOf } from "../lib/kokan.mjs";
import { Cloud } from "../lib/machines.mjs";
import { CannotRun, runCase, TROUBLE } from "../lib/site.mjs";
import { StateService } from "../lib/state.mjs";

/** Jobs that wait for machines: the cloud has none to give. */
const WAITING_JOBS = 520;
const AWAITED_JOBS = 160;
/** "now and then a few hundred" milliseconds. */
const SLOW_ANSWER_MS = 300;
const BACK_AFTER_MS = 3_000;
const ROLL_EVERY_MS = 10_000;

const NEXT = `
[deployment.state.next]
value_kb = 2.0
txn_ops = 4
write_rps = 42.0
`;

const nameOf = (number) => `wk-${String(number).padStart(6, "0")}`;

await runCase(dirname(fileURLToPath(import.meta.url)), async (site) => {
  const { record } = site;
  const state = new StateService(STATE);
  site.closers.push(() => state.close());
  const cloud = new Cloud(record, {
    types: [KOGATA, CHUUGATA],
    room: () => 0,
    listLagS: 4,
    latencyMs: 250,
    startWorker: () => {
      throw new CannotRun("no machine is rented in this case");
    },
  });
  const cloudAddress = await cloud.start();
  site.closers.push(() => cloud.close());
  await site.addControllers(3, zoneOf, (node) => state.serveFor(node), cloudAddress, deployment(NEXT));
  for (const controller of site.controllers) controller.start();
  await site.untilReady();

  let next = 1;
  const submitNext = async (first) => {
    while (next <= WAITING_JOBS) {
      const number = next;
      next += 1;
      await site.submit(plan(nameOf(number), { owner: `unyou-han-${(number % 16) + 1}`, shards: 2 }), first, true);
    }
  };
  await Promise.all([0, 1, 2, 0, 1, 2].map(submitNext));
  record.write(`${nameOf(1)} to ${nameOf(WAITING_JOBS)} are accepted`);

  const bundle = (number) =>
    plan(nameOf(number), {
      jobclass: "haisou-shiji",
      awaits: Array.from({ length: AWAITED_JOBS }, (_, at) => nameOf(at + 1)),
    });
  const bundles = [bundle(900), bundle(901), bundle(902)];
  for (const [at, controller] of site.controllers.entries()) {
    const job = bundles[at];
    const roundEnds = performance.now() + ROLL_EVERY_MS;
    if (TROUBLE) {
      await controller.kill();
      await sleep(BACK_AFTER_MS);
      let accepted = null;
      state.delayOf = (node, method, url) => {
        if (node !== at || method !== "GET" || url.pathname !== "/kv" || url.searchParams.get("under") !== "c/") return 0;
        record.write(`state service: ${controller.label} asks for ${url.pathname}${url.search}`);
        if (!url.searchParams.has("from") || accepted !== null) return 0;
        // The second page, once, is one of the slow answers; meanwhile a user submits the job at another controller.
        accepted = site.submit(job, at + 1);
        return SLOW_ANSWER_MS;
      };
      controller.start();
      await site.untilReady();
      if (accepted === null) throw new CannotRun("the records were read in one page");
      await accepted;
      state.delayOf = () => 0;
    } else await site.submit(job, at + 1);
    await sleep(Math.max(0, roundEnds - performance.now()));
  }

  // No trouble from here on. One of the jobs that all three wait for is cancelled.
  const phase = await site.abort(nameOf(100), 1);
  if (phase !== "withdrawn") throw new CannotRun(`${nameOf(100)} is ${phase}`);
  const toldAt = performance.now();
  const withdrawn = new Set();
  let wentBack = null;
  let answers = 0;
  for (;;) {
    const seconds = (performance.now() - toldAt) / 1_000;
    for (const { ref } of bundles) {
      for (const controller of site.controllers) {
        const reply = await site.request(controller, "GET", `/v2/runs/${ref}`, null, { timeoutMs: 2_000 });
        if (reply.status !== 200) continue;
        answers += 1;
        const { phase: answered } = reply.body;
        if (answered === "withdrawn") withdrawn.add(ref);
        else if (withdrawn.has(ref))
          wentBack ??= `${controller.label} calls ${ref} ${answered} after another node has called it withdrawn`;
        if (answered !== "withdrawn" && seconds > WORKERS.cancelS)
          return `${controller.label} calls ${ref} ${answered} ${seconds.toFixed(0)} s after ${nameOf(100)}, which it awaits, was cancelled (orphaned)${wentBack === null ? "" : `; ${wentBack} (went_back)`}`;
      }
    }
    if (seconds > WORKERS.cancelS + 3) break;
    await sleep(6_000);
  }
  if (answers === 0) throw new CannotRun("no question was answered");
  return wentBack;
});
