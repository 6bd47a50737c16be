// A machine fails what it starts for some seconds and is sound again: does it get work once the trouble is over?
import { runCase } from "../lib-2/case.mjs";
import { sleep } from "../lib-2/http.mjs";

const SICK_S = 8;
const MOST_WAIT_S = 90;
const options = {
  site: "kokan-denchi",
  runS: () => 5,
  // Up at the start, by the site file.
  machinesUp: [["kogata", "hakata", false, 4], ["chuugata", "kumamoto", false, 1], ["chuugata", "hakata", false, 1]],
};

await runCase(import.meta.url, options, async (site, trouble) => {
  const team = site.spec.teams[0].name;
  const app = site.job("wk-000001", {
    jobclass: "station-appu", owner: team, shape: "daemon", rank: "prod", shards: 2, cpus: 2, ramGb: 2.7, loaner: false, spread: true, sizeGb: 0.9, bundle: "img-a", guessS: 0,
  });
  if ((await site.submit(app)).status !== 201) throw new Error("the app was not accepted");
  const appRuns = () => site.workers.flatMap((worker) => [...worker.tasks.values()]).filter(({ phase }) => phase === "running").length === 2;
  if (!(await site.waitFor("app runs", 20, appRuns))) throw new Error("the app does not run");
  // The only ordinary machine of its type and zone that the deployment has (site file: count = 1).
  const machine = site.workers.find(({ info, ended }) => info.flavor === "chuugata" && info.area === "kumamoto" && !info.loaner && !ended);
  if (trouble) {
    site.note("trouble: the machine fails every task that it starts", machine.info.host);
    machine.failsAfterMs = (index) => 700 * (index + 1);
  }
  const plan = site.job("wk-000002", {
    jobclass: "juden-keikaku", owner: team, shards: 3, cpus: 4, ramGb: 4.3, area: "kumamoto", loaner: false, sizeGb: 0.3, bundle: "img-b", guessS: 5, dueS: 60,
  });
  let starts = 0;
  site.listeners.push(({ kind, task }) => {
    if (kind === "on" && task.startsWith(`${plan.ref}/`)) starts += 1;
  });
  if ((await site.submit(plan)).status !== 201) throw new Error("the plan was not accepted");
  await sleep(SICK_S * 1000);
  machine.failsAfterMs = null;
  const overAt = site.now();
  const startsBefore = starts;
  const before = JSON.stringify([machine.stats.refused, machine.stats.leaseEnds]);
  site.note("no trouble from here on", { startsBefore });
  let phase = null;
  while (site.now() - overAt < MOST_WAIT_S + 1) {
    const answer = await site.poll(plan.ref);
    phase = answer.body?.phase ?? phase;
    if (phase === "done" || starts > startsBefore) break;
    await sleep(3_000);
  }
  const running = [...machine.tasks.values()].filter((entry) => entry.phase !== "exited");
  const used = running.reduce((sum, entry) => sum + entry.job.cpus, 0);
  const usedByTeam = site.workers.flatMap((worker) => [...worker.tasks.values()]).filter((entry) => entry.phase !== "exited" && entry.job.owner === team).reduce((sum, entry) => sum + entry.job.cpus, 0);
  site.note("the machine at the end", {
    host: machine.info.host, up: machine.up, cpus: machine.info.type.cpus, used, teamUses: usedByTeam, reportsOtherThan200: machine.stats.refused, leasesOver: machine.stats.leaseEnds,
  });
  if (phase === "done" || starts > startsBefore) return [];
  // Excuses: the machine was not there, or not answered, all the time; or it has no room; or the team is at its limit.
  if (before !== JSON.stringify([machine.stats.refused, machine.stats.leaseEnds])) return [];
  const usedGb = running.reduce((sum, entry) => sum + entry.job.ramGb, 0);
  if (usedGb + plan.ramGb > machine.info.type.ramGb) return [];
  if (!machine.up || machine.ended || used + plan.cpus > machine.info.type.cpus || usedByTeam + plan.cpus > 48) return [];
  return [
    `${MOST_WAIT_S} s after the end of the trouble the plan is "${phase}" and no task of it was started, while ${machine.info.host}, which fits, uses ${used} of ${machine.info.type.cpus} CPUs and its team ${usedByTeam} of 48`,
  ];
});
