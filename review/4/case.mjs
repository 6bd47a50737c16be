// Several huge arrays at a time: do the controllers end for memory, and go on doing so?
import { readFileSync } from "node:fs";
import { runCase } from "../lib-2/case.mjs";
import { sleep } from "../lib-2/http.mjs";

const residentMb = (child) => {
  try {
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))[1]) / 1024);
  } catch {
    return null;
  }
};

const options = {
  site: "peticio-muhely",
  // The guest team of kit/more, without a guarantee and without a limit.
  override: { teams: [{ name: "kampany" }, { name: "adatcsapat" }, { name: "civil-radar" }] },
  quietEvents: true,
  restartAfterMs: 3_000,
  runS: () => 60,
};

await runCase(import.meta.url, options, async (site, trouble) => {
  // The public pages, as on every day.
  const page = site.job("wk-000001", {
    jobclass: "peticio-oldal", shape: "daemon", rank: "prod", shards: 2, cpus: 1, ramGb: 2.2, loaner: false, spread: true, sizeGb: 1.2,
  });
  if ((await site.submit(page)).status !== 201) throw new Error("the page was not accepted");
  const pageRuns = async () => (await site.poll(page.ref, undefined, true)).body?.running === 2;
  if (!(await site.waitFor("page runs", 20, pageRuns))) throw new Error("the page does not run");
  // One huge array; the disruption: three of them ("jobs of a class come several times as often").
  const arrays = trouble ? 3 : 1;
  for (let i = 0; i < arrays; i += 1) {
    const array = site.job(`wk-00001${i}`, {
      jobclass: "orszagos-lista", owner: "civil-radar", rank: "best_effort", shards: 100_000, cpus: 0.005, ramGb: 0.01, guessS: 60, sizeGb: 0.6,
    });
    if ((await site.submit(array)).status !== 201) throw new Error("an array was not accepted");
  }
  while (site.now() < 106) {
    await sleep(4_000);
    await site.poll(page.ref);
    for (let i = 0; i < arrays; i += 1) await site.poll(`wk-00001${i}`);
    site.note("machines", site.machinesNow());
    site.note("resident MB", site.controllers.map((child) => (child ? residentMb(child) : null)));
    if (site.exits.filter(({ expected }) => !expected).length >= 6) break;
  }
  // An end with an exit status is the script's fault (a port was taken): then the case could not run.
  const ends = site.exits.filter(({ expected }) => !expected);
  if (ends.length > 0 && ends[0].signal === null) throw new Error(`controller ${ends[0].index} ended with status ${ends[0].code}`);
  for (let i = 0; i < 3; i += 1)
    if (site.logOf(i).includes("heap out of memory")) site.note("its log says: JavaScript heap out of memory", { index: i });
  return ends.map(({ at, index, signal }) => `controller ${index} ended by itself (${signal}) ${at.toFixed(1)} s after the start`);
});
