// A start whose answer is lost in a cut of a second, and a cancellation in that second.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../lib/http.mjs";
import { CHUUGATA, deployment, KOGATA, plan, STATE, WORKERS, ZONES, zoneOf } from "../lib/kokan.mjs";
import { Cloud, Worker } from "../lib/machines.mjs";
import { ResettingProxy } from "../lib/proxy.mjs";
import { CannotRun, runCase, TROUBLE } from "../lib/site.mjs";
import { StateService } from "../lib/state.mjs";

/** Below the limit of the pages for such a cut (claim.txt). */
const CUT_MS = 800;
const WAIT_LIMIT_S = 90;

const LAUNCH = Buffer.from('"launch"');

await runCase(dirname(fileURLToPath(import.meta.url)), async (site) => {
  const { record } = site;
  const jobs = new Map();
  const state = new StateService(STATE);
  site.closers.push(() => state.close());
  let machine = null;
  const cloud = new Cloud(record, {
    types: [KOGATA, CHUUGATA],
    // One ordinary medium machine in Kumamoto, which is up from the start, as on the page's site; no others.
    room: (type, zone, spot) => (type === "chuugata" && zone === "kumamoto" && !spot ? 1 : 0),
    listLagS: 4,
    latencyMs: 250,
    startWorker: async (info, type) => {
      const worker = new Worker(record, info, type, { ...WORKERS, controllers: paths, jobOf: (ref) => jobs.get(ref) });
      await worker.start();
      machine = worker;
      return worker;
    },
  });
  const cloudAddress = await cloud.start();
  site.closers.push(() => cloud.close());
  await site.addControllers(3, zoneOf, (node) => state.serveFor(node), cloudAddress, deployment());
  // The machine reaches each controller through a proxy of its own.
  const proxies = [];
  const paths = [];
  for (const { label, address } of site.controllers) {
    const proxy = new ResettingProxy();
    paths.push({ label, address: await proxy.start(address) });
    proxies.push(proxy);
    site.closers.push(() => proxy.close());
  }
  for (const controller of site.controllers) controller.start();
  await site.untilReady();
  await cloud.add(CHUUGATA, ZONES[0], false, 0);

  const first = plan("wk-000101", { flavors: ["chuugata"], area: "kumamoto", loaner: false });
  const second = plan("wk-000102", { flavors: ["chuugata"], area: "kumamoto", loaner: false });
  jobs.set(first.ref, first);
  jobs.set(second.ref, second);

  // The machine is known to the leader, and a report of it has just begun to wait for work.
  const untilWaiting = performance.now() + 20_000;
  while (!(machine.baton > 0 && machine.inFlight && performance.now() - machine.lastReportAt < 300)) {
    if (performance.now() > untilWaiting) throw new CannotRun("the machine has seen no leader");
    await sleep(10);
  }

  let started;
  const launched = new Promise((resolve) => {
    started = resolve;
  });
  let cut = false;
  for (const proxy of proxies) {
    proxy.cutsAt = (data) => TROUBLE && !cut && data.includes(LAUNCH);
    proxy.onCut = () => {
      cut = true;
      for (const each of proxies) each.cut(CUT_MS);
      record.write(`${machine.info.ref}: its connections to the controllers are reset, for ${CUT_MS} ms`);
      started();
    };
  }
  await site.submit(first);
  if (!TROUBLE) {
    const until = performance.now() + 15_000;
    while (machine.tasks.size === 0 && performance.now() < until) await sleep(10);
    started();
  }
  const timeout = sleep(15_000).then(() => "timeout");
  if ((await Promise.race([launched, timeout])) === "timeout") throw new CannotRun("nothing was started");
  const phase = await site.abort(first.ref, 1);
  if (phase !== "withdrawn") throw new CannotRun(`${first.ref} is ${phase}`);
  await sleep(2_000);
  await site.submit(second, 2);

  // From here on there is no trouble: the machine is empty, it reports and is answered, and the team runs nothing.
  // Counts only the time for which that holds.
  let calmSince = performance.now();
  for (;;) {
    await sleep(1_000);
    const ran = [...machine.tasks.values()].some(({ shard }) => shard.startsWith(second.ref));
    const isEmpty = [...machine.tasks.values()].every(({ phase }) => phase === "exited");
    if (machine.ended || !isEmpty) calmSince = performance.now();
    const waited = (performance.now() - calmSince) / 1_000;
    if (ran) {
      record.write(`${second.ref} was started after ${waited.toFixed(1)} s`);
      return null;
    }
    if (waited >= WAIT_LIMIT_S) {
      await site.request(site.controllers[0], "GET", `/v2/runs/${second.ref}`);
      await site.request(site.controllers[0], "GET", `/v2/runs/${first.ref}`);
      return `${second.ref} has waited ${Math.round(waited)} s beside an empty machine that it fits, its team running nothing`;
    }
    if (Math.round(waited) % 15 === 0) await site.request(site.controllers[0], "GET", `/v2/runs/${second.ref}`);
  }
});
