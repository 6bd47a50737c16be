/** Random days: jobs of all kinds, job chains, cancellations and overlapping faults, all drawn from one seed. */
import { S } from "../../src/model/index.js";
import { Random } from "../random.js";
import { Cluster, plainJob, randomJob, UNDERSIZED_CONTROLLERS } from "./cluster.js";
import { FAULTS } from "./fault-combinations.js";
import { cutLinksAtRandom, injectFault, injectHarshFault } from "./random-faults.js";
import { LOWER_LIMITS, startRollout, withAnnouncedLimits } from "./rollout.js";

/** Time in which jobs are submitted and faults begin, in microseconds. */
export const BUSY_PERIOD = 150 * S;

/** No fault lasts for longer than this, in microseconds. */
export const LONGEST_FAULT = 65 * S;

/** Upper bounds of what a day contains; the actual numbers are drawn. */
export interface DayLimits {
  /** Chains of dependent jobs; 0 also disables rolling upgrades. */
  readonly chains: number;
  /** Faults of `injectHarshFault`. */
  readonly harshFaults: number;
  /** Faults of `FAULTS`. */
  readonly combinations: number;
}

export const DEFAULT_LIMITS: DayLimits = { chains: 5, harshFaults: 4, combinations: 3 };

/** Submits chains of jobs that depend on earlier jobs, also of other chains; some are cancelled. */
const submitDependencyChains = (
  cluster: Cluster,
  random: Random,
  maxChains: number,
  from: number,
  until: number,
): void => {
  const ids: string[] = [];
  for (let number = random.int(0, maxChains); number > 0; number -= 1) {
    let at = random.int(from, until);
    for (let stage = random.int(1, 6); stage > 0; stage -= 1) {
      const ref = `wk-5${String(number).padStart(2, "0")}${String(stage).padStart(3, "0")}`;
      const earlierJobs = ids.filter(() => random.chance(0.3)).slice(-4);
      const previousJob = ids.at(-1);
      const dependencies = [...new Set(previousJob === undefined ? earlierJobs : [...earlierJobs, previousJob])];
      const rank = random.pick(["high", "best_effort"] as const);
      const fields = {
        rank,
        shards: random.int(1, 4),
        cpus: 1,
        sizeGb: 0.2,
        awaits: dependencies,
        dueS: random.chance(0.3) ? 90 : null,
      };
      ids.push(ref);
      const owner = random.chance(0.3) ? "capped" : "open";
      const runUs = random.int(2, 12) * S;
      const submit = (): void => {
        const accepted = new Set(cluster.checker.accepted());
        if (dependencies.every((id) => accepted.has(id)))
          cluster.submit(plainJob(ref, { ...fields, owner }), { runUs });
        // Bounded retries: a job that it depends on may never be accepted.
        else if (cluster.world.now < until + 60 * S) cluster.world.after(S / 2, submit);
      };
      cluster.world.at(at, submit);
      if (random.chance(0.15)) cluster.world.at(at + random.int(0, 40 * S), () => cluster.users.cancelIfAccepted(ref));
      at += random.int(0, 20 * S);
    }
  }
};

/**
 * Schedules the jobs, cancellations and faults of the day of a seed on a simulated cluster that has not run yet. Even
 * seeds have a mesh, each third has controllers with little CPU and few connections, about half have a rolling upgrade.
 */
export const randomDay = (seed: number, limits: DayLimits = DEFAULT_LIMITS): Cluster => {
  const mesh = seed % 2 === 0;
  const chainRandom = new Random(seed + 4_000);
  const hasUpgrade = limits.chains > 0 && chainRandom.chance(0.5);
  const cluster = new Cluster(
    seed,
    { mesh },
    hasUpgrade ? withAnnouncedLimits : undefined,
    seed % 3 === 0 ? UNDERSIZED_CONTROLLERS : undefined,
  );
  if (hasUpgrade) {
    const { upgrade } = startRollout(seed, mesh, withAnnouncedLimits, cluster);
    const upgradeTimes = [0, 1, 2].map((at) => (8 + chainRandom.int(0, 30) + at * chainRandom.int(1, 12)) * S);
    for (const [at, turn] of upgradeTimes.entries()) cluster.world.at(turn, () => upgrade(at));
    cluster.world.at(chainRandom.int(75, 140) * S, () => cluster.state.lower(LOWER_LIMITS));
    submitDependencyChains(cluster, chainRandom, limits.chains, Math.max(...upgradeTimes) + 5 * S, 140 * S);
  } else submitDependencyChains(cluster, chainRandom, limits.chains, 5 * S, 140 * S);
  const random = new Random(seed + 1_000);
  for (let number = 0; number < 26; number += 1) {
    const job = randomJob(random, number);
    const at = number < 6 ? 2 * S : random.int(2 * S, BUSY_PERIOD);
    cluster.world.at(at, () => cluster.submit(job, { runUs: job.shape === "daemon" ? null : random.int(3, 30) * S }));
    const cancelled = random.chance(0.2);
    if (cancelled) cluster.world.at(at + random.int(0, 40 * S), () => cluster.users.cancel(job.ref));
  }
  for (let number = 0; number < 8; number += 1)
    cluster.world.at(random.int(0, BUSY_PERIOD), () => cluster.users.queryOnce("wk-900000"));
  for (let number = random.int(3, 7); number > 0; number -= 1) {
    cluster.world.at(random.int(10 * S, BUSY_PERIOD), () => injectFault(cluster, random));
  }
  // With a mesh, faults that cut some links and leave others up are added.
  for (let number = mesh ? random.int(1, 4) : 0; number > 0; number -= 1) {
    cluster.world.at(random.int(10 * S, BUSY_PERIOD), () => cutLinksAtRandom(cluster, random));
  }
  // Each further group of faults draws from its own random sequence, so that the draws above stay the same.
  const harshRandom = new Random(seed + 2_000);
  for (let number = harshRandom.int(0, limits.harshFaults); number > 0; number -= 1) {
    cluster.world.at(harshRandom.int(10 * S, BUSY_PERIOD), () => injectHarshFault(cluster, harshRandom));
  }
  const combinationRandom = new Random(seed + 3_000);
  for (let number = combinationRandom.int(0, limits.combinations); number > 0; number -= 1) {
    cluster.world.at(combinationRandom.int(10 * S, BUSY_PERIOD), () =>
      combinationRandom.pick(Object.values(FAULTS))(cluster),
    );
  }
  return cluster;
};
