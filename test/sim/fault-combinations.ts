import { S } from "../../src/model/index.js";
import { cancellationTerms } from "../../src/settings/cancellation.js";
import { parseSettings } from "../../src/settings/parse-settings.js";
import { shardLeaseDuration } from "../../src/settings/shard-lease.js";
import { settingsText } from "../fixtures.js";
import { type Cluster, plainJob } from "./cluster.js";
import { type Fault, machinesWithTasks } from "./faulty-day.js";

const { workers } = parseSettings(settingsText(0));
/** From a confirmed cancellation until the last of its tasks is gone, at most. */
export const CANCELLATION_BOUND = cancellationTerms(workers, shardLeaseDuration({ workers })).total;

const swallowed = ["requests", "answers"] as const;

/** A job's id that nobody has taken yet. */
const fresh = (c: Cluster): string => `wk-83${String(c.checker.jobs.size).padStart(4, "0")}`;

/** Copies of reports are kept, and given to every controller in the moment in which one takes the block; says how many. */
export const delayHeartbeatCopies = (c: Cluster, share: number, forUs: number): { given: number } => {
  const told = { given: 0 };
  const before = c.onTaken;
  c.site.keepReports(share, forUs);
  c.onTaken = (at) => {
    before(at);
    told.given += c.site.releaseReports();
  };
  return told;
};

/** Running jobs of some length are called off, and their machines hang at the same time; returns the jobs. */
export const hangCancelledMachines = (c: Cluster, forUs: number): readonly string[] => {
  const chosen = c.checker
    .accepted()
    .filter((id) => c.checker.jobs.get(id)?.service === false && c.checker.finalOf(id) === null)
    .filter((id) => c.checker.isOn(`${id}/0`))
    .slice(0, 3);
  for (const id of chosen) {
    c.users.cancel(id);
    const places = c.checker.placesOf(`${id}/0`);
    for (const { info, worker } of c.cloud.running()) if (places.includes(info.name)) worker?.hang(forUs);
  }
  return chosen;
};

/** Jobs of one task, so many a second, each fourth of them cancelled; returns their ids, filled as they are submitted. */
export const submitSmallJobs = (c: Cluster, perS: number, forUs: number): readonly string[] => {
  const ids: string[] = [];
  const until = c.world.now + forUs;
  const next = (): void => {
    if (c.world.now >= until) return;
    const ref = fresh(c);
    ids.push(ref);
    c.submit(plainJob(ref, { shards: 1, cpus: 1, sizeGb: 0.1, guessS: 4 }), { runUs: 4 * S });
    if (ids.length % 4 === 0) c.world.after(c.random.int(0, 5 * S), () => c.users.cancel(ref));
    c.world.after(S / perS, next);
  };
  next();
  return ids;
};

/** Work for which there is no machine yet, while nearly all boots take a second. */
export const bootInstantly: Fault = (c) => {
  c.cloud.boots = { never: 0, late: 0, early: 0.9 };
  for (let number = 0; number < 2; number += 1) {
    const job = plainJob(fresh(c), { shards: 6, cpus: 8, sizeGb: 0.2, guessS: 15 });
    c.submit(job, { runUs: 15 * S });
  }
};

/**
 * The troubles that may meet, each for about half a minute: all pairs of them, at offsets up to a little over a worker's
 * lease, are played by `overlapping-faults.test.ts`.
 */
export const FAULTS: Readonly<Record<string, Fault>> = {
  "state service refuses the holder": (c) => c.state.refuse(c.site.nodeAddress(c.holder()), 14 * S),
  "state service away for longer than cancel_s": (c) => c.state.outage(50 * S),
  "state service slow": (c) => c.site.slowState(0.3, 4 * S, 30 * S),
  "transactions late": (c) => c.state.lateWrites(0.3, 30 * S),
  "holder cut from the state service": (c) => c.site.cutFromState(c.holder(), 25 * S, "hold"),
  "holder with its workers only": (c) => c.site.cutAllButWorkers(c.holder(), 25 * S, "hold"),
  "holder cut from its workers": (c) => c.site.cutFromWorkers(c.holder(), 25 * S, "reset"),
  "holder ends": (c) => c.crash(c.holder(), 15 * S),
  "holder ends and is back at once": (c) => c.crash(c.holder(), 0.2 * S),
  "all end, one is back at once": (c) => {
    for (const at of [0, 1, 2]) c.crash(at, at === 1 ? 0.3 * S : 20 * S);
  },
  "handed over and back": (c) => {
    for (let at = 0; at < 4; at += 1) c.world.after(at * 0.9 * S, () => c.crash(c.holder(), 0.4 * S));
  },
  "machines deaf": (c) => c.site.deafen(machinesWithTasks(c, 3), 40 * S, swallowed),
  "machines that only answers do not reach": (c) => c.site.deafen(machinesWithTasks(c, 3), 40 * S, ["answers"]),
  "commands held up": (c) => c.site.holdUpCommands("requests", 0.3, 9 * S, 30 * S),
  "answers to commands held up": (c) => c.site.holdUpCommands("answers", 0.3, 9 * S, 30 * S),
  "machines hang": (c) => {
    for (const { worker } of c.cloud.running().slice(0, 4)) worker?.hang(12 * S);
  },
  "zone cut": (c) => c.site.cutZone("west", 30 * S, "hold"),
  "reports late": (c) => c.site.copyReports(0.3, 30 * S, 40 * S),
  "cloud away": (c) => {
    c.cloud.outageUntil = Math.max(c.cloud.outageUntil, c.world.now + 40 * S);
  },
  "machines back, counters anew": (c) => {
    for (const { worker } of c.cloud.running().slice(0, 3)) worker?.restart(false);
  },
  "answers to transactions lost, others look": (c) => {
    c.state.loseAnswers(0.3, 30 * S);
    c.curious.lookClosely(30 * S, 0.1);
  },
  "reports kept for the next holder": (c) => {
    delayHeartbeatCopies(c, 0.4, 40 * S);
  },
  "machines mute": (c) => c.site.mute(machinesWithTasks(c, 3), 40 * S),
  "cancelled at the end": (c) => c.cancelAtEnd(0.5, 40 * S),
  "close looks": (c) => c.curious.lookClosely(40 * S, 0.15),
  "odd requests": (c) => c.curious.sendOdd(30 * S),
  "machines up at once, writes late": (c) => {
    bootInstantly(c);
    c.state.lateWrites(0.3, 20 * S);
  },
  "hang within the lease, cancelled": (c) => {
    hangCancelledMachines(c, 12 * S);
  },
  "hang beyond the lease, cancelled": (c) => {
    hangCancelledMachines(c, 35 * S);
  },
  "small jobs, four a second": (c) => {
    submitSmallJobs(c, 4, 30 * S);
  },
  "a new holder every eleven seconds": (c) => {
    for (let at = 0; at < 5; at += 1) c.world.after(at * 11 * S, () => c.crash(c.holder(), 4 * S));
  },
  "all away for longer than the lease": (c) => {
    for (const at of [0, 1, 2]) c.crash(at, 24 * S + at * S);
  },
};

const after = (seconds: number, trouble: Fault): Fault => {
  return (c) => c.world.after(seconds * S, () => trouble(c));
};
const named = (name: string): Fault => {
  const trouble = FAULTS[name];
  if (trouble === undefined) throw new Error(`no trouble: ${name}`);
  return trouble;
};

/** Meetings that broke rules elsewhere, each with what comes when. */
export const KNOWN_COMBINATIONS: Readonly<Record<string, readonly Fault[]>> = {
  "handed over and back, then all end, and one returns within a second": [
    named("handed over and back"),
    after(5, named("all end, one is back at once")),
  ],
  "jobs of two or three tasks end far apart over changes of the holder": [
    named("holder ends"),
    after(20, named("holder ends and is back at once")),
    after(45, named("holder ends")),
  ],
  "transactions are carried out after newer ones, over a takeover": [
    named("transactions late"),
    after(6, named("holder ends and is back at once")),
    after(14, named("holder ends")),
  ],
  "old reports arrive after newer ones, from earlier sessions and attempts as well": [
    named("reports late"),
    after(2, named("machines back, counters anew")),
    after(4, (c) => {
      for (const { worker } of c.cloud.running().slice(3, 6)) worker?.restart(true);
    }),
    after(8, named("machines that only answers do not reach")),
    after(12, named("holder ends and is back at once")),
  ],
  "the holder has its workers and users only, and jobs are cancelled through the new one": [
    named("holder with its workers only"),
    after(1, (c) => c.users.cancel("wk-800004")),
  ],
  "commands and their answers are held up, and the machines go on": [
    named("commands held up"),
    named("answers to commands held up"),
    after(2, named("machines hang")),
    after(7, named("holder ends and is back at once")),
  ],
  "the holder ends while machines with long tasks are deaf or cut off": [
    named("machines deaf"),
    named("zone cut"),
    after(3, named("holder ends")),
  ],
  "the state service is slow, refuses the holder alone, and is then away for all": [
    named("state service slow"),
    after(5, named("state service refuses the holder")),
    after(7, named("state service away for longer than cancel_s")),
  ],
};

/** Arrays that run for minutes and are cancelled while the troubles last, and jobs whose few tasks end far apart. */
export const submitLongJobs: Fault = (cluster) => {
  for (let at = 0; at < 5; at += 1) {
    const ref = `wk-80000${at}`;
    cluster.submit(plainJob(ref, { shards: 3, cpus: 1, loaner: true, guessS: 120 }), { runUs: 150 * S });
    if (at < 4) cluster.world.at((61 + at * 9) * S, () => cluster.users.cancel(ref));
  }
  for (let at = 0; at < 5; at += 1) {
    const shards = 2 + (at % 2);
    // One at once, one during the troubles, one long after.
    const runsUs = new Map([8 + at, 50 + 11 * at, 110].map((runS, task) => [task, runS * S]));
    cluster.submit(plainJob(`wk-81000${at}`, { shards, cpus: 1, guessS: 60 }), { runUs: 30 * S, runsUs });
  }
};
