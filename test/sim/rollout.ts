import { S } from "../../src/model/index.js";
import { parseSettings } from "../../src/settings/parse-settings.js";
import type { HttpRequest } from "../../src/transport/http.js";
import { Cluster, plainJob, type Submission, settingsAt } from "./cluster.js";

/** Settings that announce future, lower limits of the key-value store. */
export const ANNOUNCED_LIMITS =
  "[deployment.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 6\n\n[deployment.cloud]";
export const withAnnouncedLimits = (text: string): string => text.replace("[deployment.cloud]", ANNOUNCED_LIMITS);
export const LOWER_LIMITS = { writeRps: 28, valueBytes: 2_048, txnOps: 6 };

/** Rewrites a request to that of an old controller, without dependency lists and the record fields added since. */
const asOldVersion = (request: HttpRequest): HttpRequest => {
  if (request.target !== "/txn") return request;
  const transaction = JSON.parse(request.body) as { writes: { set?: string; value?: Record<string, unknown> }[] };
  for (const { set, value } of transaction.writes) {
    if (set?.startsWith("c/awaits/") === true) throw new Error("old version wrote a dependency list");
    if (set?.startsWith("c/job/") !== true || value === undefined) continue;
    delete value.acceptedMs;
    delete value.awaited;
  }
  return { ...request, body: JSON.stringify(transaction) };
};

export interface Rollout {
  readonly cluster: Cluster;
  /** Restarts the controller as the new version. */
  upgrade(at: number): void;
  isNew(at: number): boolean;
}

/** Three old controllers, in a cluster whose new settings apply to each controller from its upgrade on. */
export const startRollout = (
  seed: number,
  mesh: boolean,
  alterSettings = withAnnouncedLimits,
  cluster = new Cluster(seed, { mesh }, withAnnouncedLimits),
): Rollout => {
  const upgraded = new Set<number>();
  const { controllers } = cluster.site.addresses;
  // Restarted before the simulation runs, so that they are old versions from the start.
  for (const at of [0, 1, 2]) cluster.site.restartWith(at, parseSettings(settingsAt(at, (text) => text)), 1);
  cluster.network.rewrite = (from, _to, request) => {
    const at = controllers.indexOf(from);
    return at < 0 || upgraded.has(at) ? request : asOldVersion(request);
  };
  return {
    cluster,
    upgrade: (at) => {
      upgraded.add(at);
      cluster.site.restartWith(at, parseSettings(settingsAt(at, alterSettings)));
    },
    isNew: (at) => upgraded.has(at),
  };
};

/** Submits a diamond of four dependent jobs every 4 s, some of them cancelled; returns the ids of the last jobs. */
export const submitDependencyChains = (cluster: Cluster, from: number, until: number): readonly string[] => {
  const lastJobIds: string[] = [];
  let number = 0;
  const id = (stage: number): string => `wk-${60 + stage}${String(number).padStart(4, "0")}`;
  const submitNextChain = (): void => {
    number += 1;
    const stages: Submission[] = [
      plainJob(id(0), { shards: 3, cpus: 1, sizeGb: 0.1, rank: "best_effort" }),
      plainJob(id(1), { shards: 2, cpus: 1, sizeGb: 0.1, rank: "best_effort", awaits: [id(0)] }),
      plainJob(id(2), { shards: 2, cpus: 1, sizeGb: 0.1, owner: "capped", awaits: [id(0)] }),
      plainJob(id(3), { shards: 1, cpus: 1, sizeGb: 0.1, rank: "high", dueS: 90, awaits: [id(1), id(2)] }),
    ];
    lastJobIds.push(id(3));
    const cancelledId = number % 5 === 0 ? id(1) : null;
    const submit = (): void => {
      const accepted = new Set(cluster.checker.accepted());
      while (stages[0]?.awaits === undefined || stages[0].awaits.every((ref) => accepted.has(ref))) {
        const stage = stages.shift();
        if (stage === undefined) return;
        cluster.submit(stage, { runUs: 4 * S });
        if (stage.ref === cancelledId)
          cluster.world.after(cluster.random.int(0, 9 * S), () => cluster.users.cancel(cancelledId));
      }
      cluster.world.after(S / 10, submit);
    };
    submit();
    if (cluster.world.now < until) cluster.world.after(4 * S, submitNextChain);
  };
  cluster.world.at(from, submitNextChain);
  return lastJobIds;
};
