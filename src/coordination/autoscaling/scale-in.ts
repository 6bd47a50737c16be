/**
 * Scale-in: chooses the machines to be returned to the cloud.
 * @module
 */
import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { mayRelease } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { CapacityBin } from "./capacity-bins.js";

/** The cloud's minimum charge for a machine covers about this time. */
export const MIN_CHARGED_TIME = seconds(58);
/** A boot has failed after the type's boot time times this factor, plus the grace in seconds. */
const FAILED_BOOT_FACTOR = 5;
const FAILED_BOOT_GRACE_S = 15;
/** The boot time in seconds assumed for machine types that the cloud does not list. */
const DEFAULT_BOOT_S = 60;

/** Why a machine is returned to the cloud. */
export type ScaleInReason = "boot failed" | "drained" | "unknown type" | "idle";

/** A machine that is to be returned to the cloud. */
export interface ScaleInChoice {
  readonly machine: Machine;
  readonly reason: ScaleInReason;
}

/** Machines without tasks into which the plan has packed tasks; machines with tasks are kept in any case. */
const emptyMachinesInUse = (bins: readonly CapacityBin[]): Set<Machine> => {
  const machines = new Set<Machine>();
  for (const { used, machine } of bins) if (used && machine !== null && machine.tasks.size === 0) machines.add(machine);
  return machines;
};

/** Whether the machine is being emptied and its tasks neither run nor can be released before the machine is deleted. */
const holdsOnlyUnreleasableTasks = (machine: Machine, now: Micros): boolean => {
  if (!isBeingEmptied(machine)) return false;
  for (const task of machine.tasks) if (task.startCommand.kind !== "none" || mayRelease(task, now)) return false;
  return true;
};

/** Why a machine without running tasks may be returned; an `idle` one is kept if the plan uses it. Null: it is kept. */
const scaleInReason = ({ now, options }: SchedulerSnapshot, machine: Machine): ScaleInReason | null => {
  const { lifecycle, state, type, load } = machine;
  const age = now - lifecycle.provisionedAt;
  switch (state) {
    case "booting": {
      const maxBootTime = seconds((type?.bootS ?? DEFAULT_BOOT_S) * FAILED_BOOT_FACTOR + FAILED_BOOT_GRACE_S);
      return age > maxBootTime ? "boot failed" : null;
    }
    case "unconfirmed":
      return age > MIN_CHARGED_TIME ? "boot failed" : null;
    default: {
      if (type === null) return "unknown type";
      if (lifecycle.drainReason !== null || lifecycle.fault !== null || machine.tasks.size > 0) return "drained";
      const isIdle = now - load.idleSince > seconds(options.idleReturnS) && age > MIN_CHARGED_TIME;
      return isIdle && lifecycle.reclaimAt === null ? "idle" : null;
    }
  }
};

/**
 * Machines that failed to boot, are drained or of an unknown type, or are idle and not used by the plan. They have no
 * tasks, or only tasks that neither run nor can be released.
 */
export const chooseScaleIn = (snapshot: SchedulerSnapshot, bins: readonly CapacityBin[]): readonly ScaleInChoice[] => {
  const inUse = emptyMachinesInUse(bins);
  const choices: ScaleInChoice[] = [];
  for (const machine of snapshot.shard.machines.values()) {
    if (machine.lifecycle.deleting) continue;
    if (machine.tasks.size > 0 && !holdsOnlyUnreleasableTasks(machine, snapshot.now)) continue;
    const reason = scaleInReason(snapshot, machine);
    if (reason === null || (reason === "idle" && inUse.has(machine))) continue;
    choices.push({ machine, reason });
  }
  return choices;
};
