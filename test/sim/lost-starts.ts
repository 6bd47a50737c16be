/** Faults that lose responses to heartbeats on their way to the worker, at the moment when they carry starts. */
import { S } from "../../src/model/index.js";
import type { Cluster } from "./cluster.js";

/** Longer than a worker waits until it tries the next controller, shorter than its heartbeat interval. */
const RESET_TIME = 0.8 * S;

/** Jobs whose starts were lost, each with the number of its lost responses. */
export type LostStarts = ReadonlyMap<string, number>;

const jobsStartedBy = (body: string): readonly string[] => {
  const { orders } = JSON.parse(body) as { orders: readonly { readonly verb: string; readonly shard: string }[] };
  const launched = orders.filter(({ verb }) => verb === "launch");
  return [...new Set(launched.map(({ shard }) => shard.slice(0, shard.lastIndexOf("/"))))];
};

/**
 * Until `forUs` have passed, resets a worker's connections to the controllers when a response that starts a job chosen
 * by `choose` is under way to it, and calls `onLost` with the job and the worker's address. The result grows with each
 * loss.
 */
export const loseStarts = (
  cluster: Cluster,
  forUs: number,
  choose: (job: string) => boolean,
  onLost: (job: string, machine: string) => void,
): LostStarts => {
  const lost = new Map<string, number>();
  const until = cluster.world.now + forUs;
  cluster.network.tamper = (worker, _, request, response) => {
    if (cluster.world.now >= until || request.target !== "/hello" || response.status !== 200) return response;
    const jobs = jobsStartedBy(response.body).filter(choose);
    if (jobs.length === 0) return response;
    cluster.site.cutMachine(worker, RESET_TIME, "reset");
    for (const job of jobs) {
      lost.set(job, (lost.get(job) ?? 0) + 1);
      onLost(job, worker);
    }
    return response;
  };
  return lost;
};

/** The numbers of uncertain and revoked starts in the leader's latest summary; null: none was logged yet. */
export const latestStartCounts = (
  cluster: Cluster,
): { readonly uncertain: number; readonly revoked: number } | null => {
  const summary = cluster.log.filter((line) => line.includes(" capacity summarized ")).at(-1);
  const counts = /"starts":(\{[^}]*\})/.exec(summary ?? "")?.[1];
  return counts === undefined ? null : JSON.parse(counts);
};
