/** Which machines may take tasks now, which of them a job may use, and which jobs can never run. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Settings } from "../../settings/settings.js";
import { isTrialDue } from "../workers/machine-trials.js";
import { isReachable } from "../workers/reachability.js";
import { fits } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Whether the job's constraints on type, zone and spot instances allow such a machine. */
export const jobAllowsMachine = (spec: JobSpec, typeName: string, zone: string, spot: boolean): boolean =>
  (spec.types === null || spec.types.includes(typeName)) &&
  (spec.zone === null || spec.zone === zone) &&
  (!spot || spec.spot);

/** The number of the job's placed tasks by zone; "" counts the tasks whose machine, and so its zone, is unknown. */
export const placedTasksByZone = (job: Job): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const task of job.placedTasks) {
    const zone = task.machine?.zone ?? "";
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
};

/**
 * Whether one more of the job's tasks may run in this zone. `counts`: its placed tasks by zone. Tasks of unknown zone
 * ("") count against every zone.
 */
export const zoneAllowed = (spec: JobSpec, counts: ReadonlyMap<string, number>, zone: string): boolean => {
  const unknown = counts.get("") ?? 0;
  if (spec.singleZone && [...counts].some(([other, count]) => count > 0 && other !== zone)) return false;
  return !spec.spread || (counts.get(zone) ?? 0) + unknown < Math.ceil(spec.tasks / 2);
};

/** Why a machine is given no new tasks now. */
export type UnreadyReason =
  | "type unknown"
  | "booting"
  | "draining"
  | "reclaim notice"
  | "lease expired"
  | "unexpected tasks"
  | "quarantined"
  | "heartbeat overdue"
  | "unreachable"
  | "fencing token unverified"
  | "faulty";

/** Why the machine is given no new tasks now; null if it is ready. */
export const unreadyReason = (machine: Machine, snapshot: SchedulerSnapshot): UnreadyReason | null =>
  unreadyByLifecycle(machine, snapshot) ??
  unreadyByContact(machine, snapshot) ??
  (machine.lifecycle.fault === null ? null : "faulty");

const unreadyByLifecycle = (machine: Machine, { now }: SchedulerSnapshot): UnreadyReason | null => {
  if (machine.type === null) return "type unknown";
  if (machine.state !== "up") return "booting";
  if (machine.lifecycle.drainReason !== null || machine.lifecycle.deleting) return "draining";
  if (machine.lifecycle.reclaimAt !== null) return "reclaim notice";
  if (machine.lease.expired) return "lease expired";
  if (machine.reported.unexpectedTasks.size > 0) return "unexpected tasks";
  return machine.lifecycle.quarantinedUntil > now ? "quarantined" : null;
};

const unreadyByContact = (machine: Machine, snapshot: SchedulerSnapshot): UnreadyReason | null => {
  const { now, heartbeatTimeout, minFencingToken: firstFencingToken } = snapshot;
  if (now - machine.reachability.lastHeartbeatAt > heartbeatTimeout) return "heartbeat overdue";
  if (!isReachable(machine.reachability)) return "unreachable";
  return machine.counters.highestToken < firstFencingToken || machine.counters.resetToken !== 0
    ? "fencing token unverified"
    : null;
};

/** A machine whose type is known. */
export type TypedMachine = Machine & { readonly type: MachineType };

/** Whether the machine can take tasks now. */
export const isReady = (machine: Machine, snapshot: SchedulerSnapshot): machine is TypedMachine =>
  unreadyReason(machine, snapshot) === null;

/** Whether the machine, which is faulty but has no other reason to be unready, can take one task now as a trial. */
export const isReadyForTrial = (machine: Machine, snapshot: SchedulerSnapshot): machine is TypedMachine =>
  isTrialDue(machine, snapshot.now) && unreadyReason(machine, snapshot) === "faulty";

/** All machines that can take tasks now. An array rather than a generator, for speed: callers walk the whole fleet. */
export const readyMachines = (snapshot: SchedulerSnapshot): readonly TypedMachine[] => {
  const ready: TypedMachine[] = [];
  for (const machine of snapshot.shard.machines.values()) if (isReady(machine, snapshot)) ready.push(machine);
  return ready;
};

/**
 * Why a job can never run with these teams and machine types, however much capacity becomes free; null if it can. An
 * array needs to fit its team's limit with one task, other shapes with all.
 */
export const infeasibilityReason = (
  spec: JobSpec,
  { teams }: Pick<Settings, "teams">,
  types: ReadonlyMap<string, MachineType>,
): string | null => {
  const team = teams.get(spec.team);
  if (team === undefined) return "unknown team";
  const fitting = [...types.values()].some(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      fits(spec.demand, type.capacity),
  );
  if (!fitting) return "a task fits no allowed machine type";
  const count = spec.shape === "array" ? 1 : spec.tasks;
  const over =
    (team.limit.cpu !== null && spec.demand.cpu * count > team.limit.cpu) ||
    (team.limit.gpu !== null && spec.demand.gpu * count > team.limit.gpu);
  return over ? "more than the team's limit" : null;
};
