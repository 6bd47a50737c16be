/** Summary of machine pools and waiting jobs for the log. */
import { readyMachines } from "./eligibility.js";
import { waitingJobs } from "./job-order.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Thousandths of CPUs in one CPU. */
const MILLICPUS_PER_CPU = 1_000;

interface PoolTotals {
  machines: number;
  freeCpus: number;
  replicas: number;
  otherTasks: number;
}

/**
 * Descriptions of pools by machine type, zone and kind (spot or on-demand), and numbers of waiting tasks by job class.
 */
export interface PoolSummary {
  readonly pools: Record<string, string>;
  readonly waiting: Record<string, number>;
}

const describePool = ({ machines, freeCpus, replicas, otherTasks }: PoolTotals): string =>
  `${machines} machines, ${Math.round(freeCpus)} CPUs free, ${replicas} replicas, ${otherTasks} other tasks`;

const totalPools = (snapshot: SchedulerSnapshot): Map<string, PoolTotals> => {
  const pools = new Map<string, PoolTotals>();
  for (const machine of readyMachines(snapshot)) {
    const { type } = machine;
    const key = `${machine.typeName}/${machine.zone}/${machine.spot ? "spot" : "ordinary"}`;
    const pool = pools.get(key) ?? { machines: 0, freeCpus: 0, replicas: 0, otherTasks: 0 };
    pools.set(key, pool);
    pool.machines += 1;
    pool.freeCpus += (type.capacity.cpu - machine.load.used.cpu) / MILLICPUS_PER_CPU;
    pool.replicas += machine.load.replicas;
    pool.otherTasks += machine.tasks.size - machine.load.replicas;
  }
  return pools;
};

/** Summarizes the ready machines of each pool, and the waiting tasks by job class. */
export const summarizePools = (snapshot: SchedulerSnapshot): PoolSummary => {
  const waiting: Record<string, number> = {};
  for (const { spec, waitingTasks } of waitingJobs(snapshot)) {
    waiting[spec.jobClass] = (waiting[spec.jobClass] ?? 0) + waitingTasks.size;
  }
  const descriptions = [...totalPools(snapshot)].map(([key, totals]) => [key, describePool(totals)] as const);
  return { pools: Object.fromEntries(descriptions), waiting };
};
