/** Faults that lose responses to heartbeats on their way to the worker, at the moment when they carry starts. */

import { LogEvent } from "../../src/coordination/log-events.js";
import type { UncertainStartCounts } from "../../src/coordination/workers/start-commands.js";
import { jobOf, S } from "../../src/model/index.js";
import type { Cluster } from "./cluster.js";
import { heartbeatResponseBody, startsAmong } from "./heartbeat-responses.js";

/** Shorter than the second after which a worker tries the next controller: its next heartbeat arrives. */
const RESET_TIME = 0.8 * S;

/**
 * Until `forUs` have passed, resets a worker's connections to the controllers when a response that starts a job chosen
 * by `choose` is under way to it, and calls `onLost` with the job and the worker's address. The result, the jobs of
 * which a start was lost, grows with each loss.
 */
export const loseStarts = (
  cluster: Cluster,
  forUs: number,
  choose: (job: string) => boolean,
  onLost: (job: string, machine: string) => void,
): ReadonlySet<string> => {
  const lost = new Set<string>();
  const until = cluster.world.now + forUs;
  cluster.network.tamper = (worker, _, request, response) => {
    if (cluster.world.now >= until) return response;
    const starts = startsAmong(heartbeatResponseBody(request, response)?.orders ?? []);
    const jobs = [...new Set(starts.map(({ shard }) => jobOf(shard)))].filter(choose);
    if (jobs.length === 0) return response;
    cluster.site.cutMachine(worker, RESET_TIME, "reset");
    for (const job of jobs) {
      lost.add(job);
      onLost(job, worker);
    }
    return response;
  };
  return lost;
};

/** The counts of starts in the leader's latest summary; null: none was logged yet. */
export const latestStartCounts = (cluster: Cluster): UncertainStartCounts | null => {
  const summary = cluster.log.filter((line) => line.includes(` ${LogEvent.CapacitySummarized} `)).at(-1);
  const counts = /"starts":(\{[^}]*\})/.exec(summary ?? "")?.[1];
  return counts === undefined ? null : JSON.parse(counts);
};
