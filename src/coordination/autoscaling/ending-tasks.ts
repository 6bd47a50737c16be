/**
 * Capacity of running tasks that are expected to end soon; waiting tasks can use it instead of a new machine.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import { jobAllowsMachine } from "../scheduling/eligibility.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { MAX_QUEUE_TIME_SHARE, maxQueueTime } from "../scheduling/start-deadline.js";

/** The maximum share of a job's tasks that waits for ending tasks: run time estimates are often wrong by half. */
const MAX_CLAIMED_SHARE = 0.8;

interface EndingTask {
  /** Estimated time until the task ends, in microseconds. */
  readonly remaining: number;
  readonly cpu: number;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The longest time that any class may wait for capacity, in microseconds. */
const longestQueueTime = ({ settings }: SchedulerSnapshot): number => {
  let longest = 0;
  for (const { kind, within } of settings.objectives) {
    if (kind === "wait" || kind === "guarantee") longest = Math.max(longest, (within ?? 0) * MAX_QUEUE_TIME_SHARE);
  }
  return longest;
};

/** Running tasks that are expected to end within the longest queue time, ordered by expected end. */
// biome-ignore lint/complexity/noExcessiveCognitiveComplexity: visits every running task of the shard; inline filters avoid a function call for each
const listEndingTasks = (snapshot: SchedulerSnapshot): EndingTask[] => {
  const endingTasks: EndingTask[] = [];
  const longest = longestQueueTime(snapshot);
  for (const { spec, placedTasks } of snapshot.shard.jobs.values()) {
    if (spec.shape === "service" || spec.estimatedRunS <= 0) continue;
    const estimate = seconds(spec.estimatedRunS);
    for (const { runningSince, machine } of placedTasks) {
      if (runningSince === null || machine === null || machine.type === null) continue;
      if (machine.lifecycle.drainReason !== null || machine.lifecycle.fault !== null) continue;
      const remaining = Math.max(0, runningSince + estimate - snapshot.now);
      if (remaining > longest) continue;
      const { typeName, zone, spot } = machine;
      endingTasks.push({ remaining, cpu: spec.demand.cpu, typeName, zone, spot });
    }
  }
  return endingTasks.sort((a, b) => a.remaining - b.remaining);
};

/** The CPU capacity of tasks that end soon. Each ending task's capacity is claimed by one job at most. */
export class EndingCapacity {
  /** Listed on first use, since that visits all running tasks; null before. */
  private endingTasks: EndingTask[] | null = null;

  constructor(private readonly snapshot: SchedulerSnapshot) {}

  /**
   * Claims capacity that is expected to become free within the time that the job's class may wait. Returns how many of
   * the job's `count` tasks it suffices for.
   */
  claim(spec: JobSpec, count: number): number {
    const queueTime = maxQueueTime(spec, this.snapshot.settings);
    if (queueTime <= 0 || spec.shape !== "array" || spec.demand.cpu <= 0) return 0;
    const maxCount = Math.floor(count * MAX_CLAIMED_SHARE);
    if (maxCount <= 0) return 0;
    const cpu = this.claimCpu(spec, maxCount * spec.demand.cpu, queueTime);
    return Math.min(maxCount, Math.floor(cpu / spec.demand.cpu));
  }

  /** Claims ending tasks on machines that the job may use until their CPU reaches `wanted`; returns their total CPU. */
  private claimCpu(spec: JobSpec, wanted: number, queueTime: number): number {
    this.endingTasks ??= listEndingTasks(this.snapshot);
    const { endingTasks } = this;
    let cpu = 0;
    let keptCount = 0;
    let index = 0;
    for (; index < endingTasks.length && cpu < wanted; index += 1) {
      const endingTask = endingTasks[index];
      if (endingTask === undefined || endingTask.remaining > queueTime) break;
      if (jobAllowsMachine(spec, endingTask.typeName, endingTask.zone, endingTask.spot)) cpu += endingTask.cpu;
      else {
        endingTasks[keptCount] = endingTask;
        keptCount += 1;
      }
    }
    endingTasks.splice(keptCount, index - keptCount);
    return cpu;
  }
}
