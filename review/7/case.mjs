// One replica of a spread service fails once on a machine that is faulty for some seconds: does it ever run again?
import { runCase } from "../lib-2/case.mjs";
import { sleep } from "../lib-2/http.mjs";

const SICK_S = 8;
const MOST_WAIT_S = 90;
const options = {
  site: "kokan-denchi",
  // Up at the start, by the site file.
  machinesUp: [["kogata", "hakata", false, 4], ["chuugata", "kumamoto", false, 1], ["chuugata", "hakata", false, 1]],
};

await runCase(import.meta.url, options, async (site, trouble) => {
  const team = site.spec.teams[0].name;
  // The only ordinary machine in kumamoto that the deployment has (site file: chuugata, count = 1).
  const machine = site.workers.find(({ info }) => info.area === "kumamoto");
  if (trouble) {
    site.note("trouble: the machine fails every task that it starts", machine.info.host);
    machine.failsAfterMs = () => 700;
  }
  const sickFrom = site.now();
  const app = site.job("wk-000001", {
    jobclass: "station-appu", owner: team, shape: "daemon", rank: "prod", shards: 2, cpus: 2, ramGb: 2.7, loaner: false, spread: true, sizeGb: 0.9, bundle: "img-a", guessS: 0,
  });
  if ((await site.submit(app)).status !== 201) throw new Error("the app was not accepted");
  await sleep((sickFrom + SICK_S - site.now()) * 1000);
  machine.failsAfterMs = null;
  const overAt = site.now();
  const running = () => site.workers.flatMap((worker) => [...worker.tasks.values()].map((entry) => ({ ...entry, worker }))).filter(({ phase, job }) => phase === "running" && job === app);
  site.note("no trouble from here on", running().map(({ task, worker }) => [task, worker.info.host]));
  const answersOf = ({ stats }) => JSON.stringify([stats.refused, stats.leaseEnds]);
  const before = new Map(site.workers.filter(({ up }) => up).map((worker) => [worker, answersOf(worker)]));
  while (site.now() - overAt < MOST_WAIT_S + 1) {
    await site.poll(app.ref);
    if (running().length === 2) break;
    await sleep(3_000);
  }
  // A machine fits if it was there and answered all the time, is no cheap one, has room, and its zone has no replica yet
  // ("at most half of the tasks, rounded up, may be in one zone").
  const taken = running().map(({ worker }) => worker.info.area);
  const fitting = site.workers.filter((worker) => {
    const tasks = [...worker.tasks.values()].filter(({ phase }) => phase !== "exited");
    const cpus = tasks.reduce((sum, { job }) => sum + job.cpus, app.cpus);
    const ramGb = tasks.reduce((sum, { job }) => sum + job.ramGb, app.ramGb);
    if (!worker.up || worker.info.loaner || taken.includes(worker.info.area) || before.get(worker) !== answersOf(worker)) return false;
    return cpus <= worker.info.type.cpus && ramGb <= worker.info.type.ramGb;
  });
  site.note("at the end", { running: running().map(({ task, worker }) => [task, worker.info.host, worker.info.area]), fitting: fitting.map(({ info, stats }) => [info.host, stats.refused, stats.leaseEnds]) });
  if (running().length === 2 || fitting.length === 0) return [];
  return [
    `${MOST_WAIT_S} s after the end of the trouble ${running().length} of 2 replicas run, while ${fitting[0].info.host} in the other zone fits, has room, and the team uses ${running().length * app.cpus} of 48 CPUs`,
  ];
});
