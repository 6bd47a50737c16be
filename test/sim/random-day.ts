/** Random days: jobs of all kinds, job chains, cancellations and overlapping faults, all drawn from one seed. */
import { S } from "../../src/model/index.js";
import { Random } from "../random.js";
import { Cluster, plainJob, randomJob, SMALL } from "./cluster.js";
import { FAULTS } from "./fault-combinations.js";
import { cutLinksAtRandom, injectFault, injectHarshFault } from "./random-faults.js";
import { LOWER_LIMITS, playRollout, withAnnouncedLimits } from "./rollout.js";

/** Time in which jobs are submitted and faults begin, in microseconds. */
export const BUSY_PERIOD = 150 * S;

/** No fault lasts for longer than this, in microseconds. */
export const LONGEST_FAULT = 65 * S;

/** The most of each kind that a day may have; how many it has is drawn. */
export interface DayLimits {
  /** Chains of dependent jobs; 0 also turns version changes off. */
  readonly chains: number;
  /** Faults of `badNight`. */
  readonly harshFaults: number;
  /** Faults of `MEETING`. */
  readonly combinations: number;
}

export const DEFAULT_LIMITS: DayLimits = { chains: 5, harshFaults: 4, combinations: 3 };

/** Jobs that await some of those before them, of other chains as well; some are called off, some come last of all. */
const submitChains = (cluster: Cluster, random: Random, most: number, from: number, until: number): void => {
  const ids: string[] = [];
  for (let number = random.int(0, most); number > 0; number -= 1) {
    let at = random.int(from, until);
    for (let stage = random.int(1, 6); stage > 0; stage -= 1) {
      const ref = `wk-5${String(number).padStart(2, "0")}${String(stage).padStart(3, "0")}`;
      const before = ids.filter(() => random.chance(0.3)).slice(-4);
      const own = ids.at(-1);
      const awaits = [...new Set(own === undefined ? before : [...before, own])];
      const rank = random.pick(["high", "best_effort"] as const);
      const fields = {
        rank,
        shards: random.int(1, 4),
        cpus: 1,
        sizeGb: 0.2,
        awaits,
        dueS: random.chance(0.3) ? 90 : null,
      };
      ids.push(ref);
      const owner = random.chance(0.3) ? "capped" : "open";
      const runUs = random.int(2, 12) * S;
      const submit = (): void => {
        const accepted = new Set(cluster.checker.accepted());
        if (awaits.every((id) => accepted.has(id))) cluster.submit(plainJob(ref, { ...fields, owner }), { runUs });
        // Not for ever: one that it needs may never have been accepted.
        else if (cluster.world.now < until + 60 * S) cluster.world.after(S / 2, submit);
      };
      cluster.world.at(at, submit);
      if (random.chance(0.15)) cluster.world.at(at + random.int(0, 40 * S), () => cluster.users.cancelIfAccepted(ref));
      at += random.int(0, 20 * S);
    }
  }
};

/**
 * A simulated cluster in which the jobs, cancellations and faults of the day of that seed are scheduled; nothing has
 * happened yet. Mesh on even seeds, bounded controllers on each third, a version change on about half of them.
 */
export const randomDay = (seed: number, limits: DayLimits = DEFAULT_LIMITS): Cluster => {
  // Every third day on such controllers.
  const mesh = seed % 2 === 0;
  const chains = new Random(seed + 4_000);
  const rolls = limits.chains > 0 && chains.chance(0.5);
  const cluster = new Cluster(
    seed,
    { mesh },
    rolls ? withAnnouncedLimits : undefined,
    seed % 3 === 0 ? SMALL : undefined,
  );
  if (rolls) {
    const { upgrade } = playRollout(seed, mesh, withAnnouncedLimits, cluster);
    const turns = [0, 1, 2].map((at) => (8 + chains.int(0, 30) + at * chains.int(1, 12)) * S);
    for (const [at, turn] of turns.entries()) cluster.world.at(turn, () => upgrade(at));
    cluster.world.at(chains.int(75, 140) * S, () => cluster.state.lower(LOWER_LIMITS));
    submitChains(cluster, chains, limits.chains, Math.max(...turns) + 5 * S, 140 * S);
  } else submitChains(cluster, chains, limits.chains, 5 * S, 140 * S);
  const random = new Random(seed + 1_000);
  for (let number = 0; number < 26; number += 1) {
    const job = randomJob(random, number);
    const at = number < 6 ? 2 * S : random.int(2 * S, BUSY_PERIOD);
    cluster.world.at(at, () => cluster.submit(job, { runUs: job.shape === "daemon" ? null : random.int(3, 30) * S }));
    const given = random.chance(0.2);
    if (given) cluster.world.at(at + random.int(0, 40 * S), () => cluster.users.cancel(job.ref));
  }
  for (let number = 0; number < 8; number += 1)
    cluster.world.at(random.int(0, BUSY_PERIOD), () => cluster.users.askOnce("wk-900000"));
  for (let number = random.int(3, 7); number > 0; number -= 1) {
    cluster.world.at(random.int(10 * S, BUSY_PERIOD), () => injectFault(cluster, random));
  }
  // With connections between controllers, cuts that leave some links up come on top of everything else.
  for (let number = mesh ? random.int(1, 4) : 0; number > 0; number -= 1) {
    cluster.world.at(random.int(10 * S, BUSY_PERIOD), () => cutLinksAtRandom(cluster, random));
  }
  // One-way loss, late copies, lone holders and instant returns over all of that, each from a sequence of its own.
  const nights = new Random(seed + 2_000);
  for (let number = nights.int(0, limits.harshFaults); number > 0; number -= 1) {
    cluster.world.at(nights.int(10 * S, BUSY_PERIOD), () => injectHarshFault(cluster, nights));
  }
  const meetings = new Random(seed + 3_000);
  for (let number = meetings.int(0, limits.combinations); number > 0; number -= 1) {
    cluster.world.at(meetings.int(10 * S, BUSY_PERIOD), () => meetings.pick(Object.values(FAULTS))(cluster));
  }
  return cluster;
};
