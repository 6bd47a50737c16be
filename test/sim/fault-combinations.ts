/** Faults of a simulated cluster and the combinations of them that tests play. */
import { S } from "../../src/model/index.js";
import { cancellationTerms } from "../../src/settings/cancellation.js";
import { parseSettings } from "../../src/settings/parse-settings.js";
import { shardLeaseDuration } from "../../src/settings/shard-lease.js";
import { settingsText } from "../fixtures.js";
import { type Cluster, plainJob } from "./cluster.js";
import { type Fault, runningMachineAddresses } from "./faulty-day.js";

const { workers } = parseSettings(settingsText(0));
/** Longest time from a confirmed cancellation until the last task of the job has ended, in microseconds. */
export const CANCELLATION_BOUND = cancellationTerms(workers, shardLeaseDuration({ workers })).total;

const bothDirections = ["requests", "answers"] as const;

/** An unused job id. */
const unusedJobId = (c: Cluster): string => `wk-83${String(c.checker.jobs.size).padStart(4, "0")}`;

/**
 * Captures copies of a share of the heartbeats and delivers them to every controller whenever one acquires the shard.
 * The result counts the copies delivered so far.
 */
export const delayHeartbeatCopies = (c: Cluster, share: number, forUs: number): { delivered: number } => {
  const copies = { delivered: 0 };
  const previousHandler = c.onShardAcquired;
  c.site.keepReports(share, forUs);
  c.onShardAcquired = (at) => {
    previousHandler(at);
    copies.delivered += c.site.releaseReports();
  };
  return copies;
};

/** Cancels up to three running jobs and hangs their workers at the same time; returns the job ids. */
export const hangCancelledMachines = (c: Cluster, forUs: number): readonly string[] => {
  const chosen = c.checker
    .accepted()
    .filter((id) => c.checker.jobs.get(id)?.service === false && c.checker.terminalPhaseOf(id) === null)
    .filter((id) => c.checker.isRunning(`${id}/0`))
    .slice(0, 3);
  for (const id of chosen) {
    c.users.cancel(id);
    const places = c.checker.machinesOf(`${id}/0`);
    for (const { info, worker } of c.cloud.running()) if (places.includes(info.name)) worker?.hang(forUs);
  }
  return chosen;
};

/** Submits `perS` one-task jobs a second and cancels each fourth; the returned list grows with each submission. */
export const submitSmallJobs = (c: Cluster, perS: number, forUs: number): readonly string[] => {
  const ids: string[] = [];
  const until = c.world.now + forUs;
  const submitNext = (): void => {
    if (c.world.now >= until) return;
    const ref = unusedJobId(c);
    ids.push(ref);
    c.submit(plainJob(ref, { shards: 1, cpus: 1, sizeGb: 0.1, guessS: 4 }), { runUs: 4 * S });
    if (ids.length % 4 === 0) c.world.after(c.random.int(0, 5 * S), () => c.users.cancel(ref));
    c.world.after(S / perS, submitNext);
  };
  submitNext();
  return ids;
};

/** Submits jobs that need new machines, while nearly all machines boot within a second. */
export const bootInstantly: Fault = (c) => {
  c.cloud.boots = { never: 0, late: 0, early: 0.9 };
  for (let number = 0; number < 2; number += 1) {
    const job = plainJob(unusedJobId(c), { shards: 6, cpus: 8, sizeGb: 0.2, guessS: 15 });
    c.submit(job, { runUs: 15 * S });
  }
};

/**
 * Faults that may overlap, each lasting about half a minute. `overlapping-faults.test.ts` plays all pairs of them, at
 * offsets up to a little over the worker lease. The order decides which fault a random number selects.
 */
export const FAULTS: Readonly<Record<string, Fault>> = {
  "key-value store refuses the shard leader": (c) => c.state.refuse(c.site.nodeAddress(c.shardLeader()), 14 * S),
  "key-value store down for longer than cancel_s": (c) => c.state.outage(50 * S),
  "key-value store slow": (c) => c.site.slowState(0.3, 4 * S, 30 * S),
  "transactions delayed": (c) => c.state.lateWrites(0.3, 30 * S),
  "shard leader partitioned from the key-value store": (c) => c.site.cutFromState(c.shardLeader(), 25 * S, "hold"),
  "shard leader reaches only its workers": (c) => c.site.cutAllButWorkers(c.shardLeader(), 25 * S, "hold"),
  "shard leader partitioned from its workers": (c) => c.site.cutFromWorkers(c.shardLeader(), 25 * S, "reset"),
  "shard leader crashes": (c) => c.crash(c.shardLeader(), 15 * S),
  "shard leader crashes and restarts at once": (c) => c.crash(c.shardLeader(), 0.2 * S),
  "all controllers crash, one restarts at once": (c) => {
    for (const at of [0, 1, 2]) c.crash(at, at === 1 ? 0.3 * S : 20 * S);
  },
  "shard leader crashes four times within three seconds": (c) => {
    for (let at = 0; at < 4; at += 1) c.world.after(at * 0.9 * S, () => c.crash(c.shardLeader(), 0.4 * S));
  },
  "workers receive neither commands nor responses": (c) =>
    c.site.dropToMachines(runningMachineAddresses(c, 3), 40 * S, bothDirections),
  "workers receive commands but no responses": (c) =>
    c.site.dropToMachines(runningMachineAddresses(c, 3), 40 * S, ["answers"]),
  "commands delayed": (c) => c.site.holdUpCommands("requests", 0.3, 9 * S, 30 * S),
  "responses to commands delayed": (c) => c.site.holdUpCommands("answers", 0.3, 9 * S, 30 * S),
  "workers hang": (c) => {
    for (const { worker } of c.cloud.running().slice(0, 4)) worker?.hang(12 * S);
  },
  "zone partitioned": (c) => c.site.cutZone("west", 30 * S, "hold"),
  "duplicate heartbeats arrive late": (c) => c.site.copyReports(0.3, 30 * S, 40 * S),
  "cloud API down": (c) => {
    c.cloud.outageUntil = Math.max(c.cloud.outageUntil, c.world.now + 40 * S);
  },
  "workers restart with counters reset": (c) => {
    for (const { worker } of c.cloud.running().slice(0, 3)) worker?.restart(false);
  },
  "responses to transactions lost, status queried": (c) => {
    c.state.loseAnswers(0.3, 30 * S);
    c.curious.probeAfterChanges(30 * S, 0.1);
  },
  "old heartbeats reach the next shard leader": (c) => {
    delayHeartbeatCopies(c, 0.4, 40 * S);
  },
  "workers cannot reach controllers": (c) => c.site.dropFromMachines(runningMachineAddresses(c, 3), 40 * S),
  "jobs cancelled as they complete": (c) => c.cancelOnCompletion(0.5, 40 * S),
  "frequent status queries": (c) => c.curious.probeAfterChanges(40 * S, 0.15),
  "invalid and repeated requests": (c) => c.curious.sendUnusualRequests(30 * S),
  "machines boot at once, writes delayed": (c) => {
    bootInstantly(c);
    c.state.lateWrites(0.3, 20 * S);
  },
  "cancelled jobs on workers that hang for less than the lease": (c) => {
    hangCancelledMachines(c, 12 * S);
  },
  "cancelled jobs on workers that hang for longer than the lease": (c) => {
    hangCancelledMachines(c, 35 * S);
  },
  "small jobs, four a second": (c) => {
    submitSmallJobs(c, 4, 30 * S);
  },
  "failover every eleven seconds": (c) => {
    for (let at = 0; at < 5; at += 1) c.world.after(at * 11 * S, () => c.crash(c.shardLeader(), 4 * S));
  },
  "all controllers down for longer than the lease": (c) => {
    for (const at of [0, 1, 2]) c.crash(at, 24 * S + at * S);
  },
};

const startAfter = (seconds: number, fault: Fault): Fault => {
  return (c) => c.world.after(seconds * S, () => fault(c));
};
const faultNamed = (name: string): Fault => {
  const fault = FAULTS[name];
  if (fault === undefined) throw new Error(`unknown fault: ${name}`);
  return fault;
};

/** Combinations of faults that have violated rules before, each with the start times of its faults. */
export const KNOWN_COMBINATIONS: Readonly<Record<string, readonly Fault[]>> = {
  "the shard leader crashes four times, then all controllers crash and one restarts within a second": [
    faultNamed("shard leader crashes four times within three seconds"),
    startAfter(5, faultNamed("all controllers crash, one restarts at once")),
  ],
  "tasks of one job end at very different times across several failovers": [
    faultNamed("shard leader crashes"),
    startAfter(20, faultNamed("shard leader crashes and restarts at once")),
    startAfter(45, faultNamed("shard leader crashes")),
  ],
  "transactions are applied after newer ones during a failover": [
    faultNamed("transactions delayed"),
    startAfter(6, faultNamed("shard leader crashes and restarts at once")),
    startAfter(14, faultNamed("shard leader crashes")),
  ],
  "old heartbeats, also of earlier worker incarnations and attempts, arrive after newer ones": [
    faultNamed("duplicate heartbeats arrive late"),
    startAfter(2, faultNamed("workers restart with counters reset")),
    startAfter(4, (c) => {
      for (const { worker } of c.cloud.running().slice(3, 6)) worker?.restart(true);
    }),
    startAfter(8, faultNamed("workers receive commands but no responses")),
    startAfter(12, faultNamed("shard leader crashes and restarts at once")),
  ],
  "the shard leader reaches only its workers and users, and jobs are cancelled through its successor": [
    faultNamed("shard leader reaches only its workers"),
    startAfter(1, (c) => c.users.cancel("wk-800004")),
  ],
  "commands and their responses are delayed while workers hang and resume": [
    faultNamed("commands delayed"),
    faultNamed("responses to commands delayed"),
    startAfter(2, faultNamed("workers hang")),
    startAfter(7, faultNamed("shard leader crashes and restarts at once")),
  ],
  "the shard leader crashes while machines with long tasks are unreachable": [
    faultNamed("workers receive neither commands nor responses"),
    faultNamed("zone partitioned"),
    startAfter(3, faultNamed("shard leader crashes")),
  ],
  "the key-value store is slow, then refuses the shard leader, then is down for all controllers": [
    faultNamed("key-value store slow"),
    startAfter(5, faultNamed("key-value store refuses the shard leader")),
    startAfter(7, faultNamed("key-value store down for longer than cancel_s")),
  ],
};

/** Submits long job arrays that are cancelled during the faults, and jobs whose tasks end at very different times. */
export const submitLongJobs: Fault = (cluster) => {
  for (let at = 0; at < 5; at += 1) {
    const ref = `wk-80000${at}`;
    cluster.submit(plainJob(ref, { shards: 3, cpus: 1, loaner: true, guessS: 120 }), { runUs: 150 * S });
    if (at < 4) cluster.world.at((61 + at * 9) * S, () => cluster.users.cancel(ref));
  }
  for (let at = 0; at < 5; at += 1) {
    const shards = 2 + (at % 2);
    // The tasks end before, during and long after the faults.
    const runsUs = new Map([8 + at, 50 + 11 * at, 110].map((runS, task) => [task, runS * S]));
    cluster.submit(plainJob(`wk-81000${at}`, { shards, cpus: 1, guessS: 60 }), { runUs: 30 * S, runsUs });
  }
};
