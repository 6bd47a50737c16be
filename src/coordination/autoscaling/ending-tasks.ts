/**
 * Capacity that comes free by itself, for which tasks can wait instead of for a boot.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import { allows } from "../scheduling/eligibility.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import { MAX_QUEUE_SHARE, maxQueueTime } from "../scheduling/start-deadline.js";

/** Estimates are often wrong by half, so not all of a job is left to what ends soon. */
const MAX_ABSORBED_SHARE = 0.8;

interface EndingTask {
  /** Microseconds until its end, by its estimate. */
  readonly remaining: number;
  readonly cpu: number;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Longer than this, in microseconds, no class waits for capacity. */
const longestQueueTime = ({ settings }: SchedulerSnapshot): number => {
  let longest = 0;
  for (const { kind, within } of settings.objectives) {
    if (kind === "wait" || kind === "guarantee") longest = Math.max(longest, (within ?? 0) * MAX_QUEUE_SHARE);
  }
  return longest;
};

/** Tasks that ought to end soon, the soonest first. */
// biome-ignore lint/complexity/noExcessiveCognitiveComplexity: walks every running task of the shard: filters stand inline to call nothing for each
const listEndingTasks = (snapshot: SchedulerSnapshot): EndingTask[] => {
  const endingTasks: EndingTask[] = [];
  const longest = longestQueueTime(snapshot);
  for (const { spec, placedTasks } of snapshot.shard.jobs.values()) {
    if (spec.shape === "service" || spec.estimatedRunS <= 0) continue;
    const estimate = seconds(spec.estimatedRunS);
    for (const { runningSince, machine } of placedTasks) {
      if (runningSince === null || machine === null || machine.type === null) continue;
      if (machine.lifecycle.drainReason !== null) continue;
      const remaining = Math.max(0, runningSince + estimate - snapshot.now);
      if (remaining > longest) continue;
      const { typeName, zone, spot } = machine;
      endingTasks.push({ remaining, cpu: spec.demand.cpu, typeName, zone, spot });
    }
  }
  return endingTasks.sort((a, b) => a.remaining - b.remaining);
};

/** The capacity of tasks that end soon, each part of it given to one job. */
export class EndingCapacity {
  /** Null until it is needed: listing walks all running tasks. */
  private endingTasks: EndingTask[] | null = null;

  constructor(private readonly snapshot: SchedulerSnapshot) {}

  /**
   * The number of the job's `count` tasks that can wait for capacity that comes free within the time that its class may
   * wait. That capacity is taken.
   */
  absorb(spec: JobSpec, count: number): number {
    const queueTime = maxQueueTime(spec, this.snapshot.settings);
    if (queueTime <= 0 || spec.shape !== "array" || spec.demand.cpu <= 0) return 0;
    const maxCount = Math.floor(count * MAX_ABSORBED_SHARE);
    if (maxCount <= 0) return 0;
    const cpu = this.takeCpu(spec, maxCount * spec.demand.cpu, queueTime);
    return Math.min(maxCount, Math.floor(cpu / spec.demand.cpu));
  }

  /** Takes ending tasks on machines that the job may use until their CPU reaches `wanted`; returns what they have. */
  private takeCpu(spec: JobSpec, wanted: number, queueTime: number): number {
    this.endingTasks ??= listEndingTasks(this.snapshot);
    const { endingTasks } = this;
    let cpu = 0;
    let kept = 0;
    let index = 0;
    for (; index < endingTasks.length && cpu < wanted; index += 1) {
      const ending = endingTasks[index];
      if (ending === undefined || ending.remaining > queueTime) break;
      if (allows(spec, ending.typeName, ending.zone, ending.spot)) cpu += ending.cpu;
      else {
        endingTasks[kept] = ending;
        kept += 1;
      }
    }
    endingTasks.splice(kept, index - kept);
    return cpu;
  }
}
