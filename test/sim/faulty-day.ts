/** A simulated day with a fixed workload into which faults are injected, and the checks after recovery. */
import assert from "node:assert/strict";
import { S } from "../../src/model/index.js";
import { Cluster, plainJob } from "./cluster.js";

/** Simulated time at which the faults begin, in microseconds. */
export const FAULT_START = 60 * S;
/** Duration of faults that do not end by themselves, in microseconds. */
export const FAULT_DURATION = 90 * S;

/** Injects a fault into a running cluster, or submits the jobs that it needs. */
export type Fault = (cluster: Cluster) => void;

/** Addresses of the first `count` running machines, in the order in which the cloud lists them. */
export const runningMachineAddresses = (cluster: Cluster, count: number): ReadonlySet<string> =>
  new Set(
    cluster.cloud
      .running()
      .flatMap(({ worker }) => (worker === null ? [] : [worker.host.address]))
      .slice(0, count),
  );

export interface FaultyDaySetup {
  readonly mesh: boolean;
  readonly seed?: number;
  /** Submits further jobs together with the initial ones. */
  readonly submitExtraJobs?: Fault;
}

/** Submits services, a job array that spans the faults and a stream of small jobs, then injects the faults. */
export const playFaultyDay = async (
  { mesh, seed = 71, submitExtraJobs: more }: FaultyDaySetup,
  ...faults: readonly Fault[]
): Promise<Cluster> => {
  const cluster = new Cluster(seed, { mesh });
  cluster.machineCapacity.ordinary = 12;
  cluster.cloud.boots = { ...cluster.cloud.boots, never: 0 };
  const service = { shape: "daemon", rank: "prod", jobclass: "web", cpus: 2, sizeGb: 0.1 } as const;
  cluster.submit(plainJob("wk-900001", { ...service, shards: 6, spread: true }));
  cluster.submit(plainJob("wk-900002", { ...service, shards: 3 }));
  cluster.submit(plainJob("wk-900003", { jobclass: "long", shards: 20, cpus: 2, guessS: 70 }), { runUs: 70 * S });
  more?.(cluster);
  let number = 0;
  const submitNext = (): void => {
    number += 1;
    const ref = `wk-${String(number).padStart(6, "0")}`;
    cluster.submit(plainJob(ref, { shards: 1 + (number % 3), cpus: 1, loaner: number % 2 === 0 }), { runUs: 8 * S });
    if (number % 7 === 0) cluster.world.after(3 * S, () => cluster.users.cancel(ref));
    if (cluster.world.now < FAULT_START + FAULT_DURATION) cluster.world.after(2 * S, submitNext);
  };
  cluster.world.after(20 * S, submitNext);
  await cluster.run(FAULT_START);
  for (const fault of faults) fault(cluster);
  return cluster;
};

export const playFaults = (mesh: boolean, ...faults: readonly Fault[]): Promise<Cluster> =>
  playFaultyDay({ mesh }, ...faults);

/** Asserts that all jobs have finished, all replicas run, no class or team was starved and no error was logged. */
export const assertRecovered = (cluster: Cluster): void => {
  const open = cluster.unfinished();
  assert.deepEqual(open, [], cluster.describeJob(open[0] ?? "-"));
  const missing = cluster.missingReplicas();
  assert.deepEqual(missing, [], cluster.describeJob(missing[0]?.split("/")[0] ?? "-"));
  assert.deepEqual(cluster.checker.starved(), []);
  assert.deepEqual(cluster.checker.lateLargestJobs(), []);
  assert.deepEqual(cluster.errors, []);
};
