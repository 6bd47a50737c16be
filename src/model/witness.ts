/** A machine as it really is. */
export interface HostInfo {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export type EndCause = "done" | "halted" | "error" | "full" | "in_use" | "no_such" | "mates_gone" | "incomplete";

/**
 * Told by the emulator what truly happens, as opposed to what any controller thinks. The tests' checker of the rules
 * and the what-if ledger listen here; the emulator never asks them anything.
 */
export interface Witness {
  /** The task has its image, which took `fetchUs` from the start command on, and is on the machine from now on. */
  taskOn(task: string, machine: HostInfo, attempt: number, fetchUs: number): void;
  taskOff(task: string, machine: HostInfo): void;
  /** The attempt ended by itself, by command or by refusal; `ranUs` is the time it ran. */
  taskEnded(task: string, machine: HostInfo, cause: EndCause, ranUs: number): void;
  /** Completed for good: its result is kept. */
  taskDone(task: string): void;
  machineAsked(machine: HostInfo): void;
  machineUp(machine: HostInfo): void;
  /** Deleted, taken or failed: nothing is on it any more. */
  machineGone(machine: HostInfo, why: "deleted" | "taken" | "failed"): void;
  refused(type: string, zone: string, spot: boolean): void;
  /** The worker's lease ran out and ended so many tasks. */
  leaseOver(machine: HostInfo, tasks: number): void;
}

const nothing = (): void => undefined;

/** Listens to nothing; for extending. */
export const nobody: Witness = {
  taskOn: nothing,
  taskOff: nothing,
  taskEnded: nothing,
  taskDone: nothing,
  machineAsked: nothing,
  machineUp: nothing,
  machineGone: nothing,
  refused: nothing,
  leaseOver: nothing,
};

/** Tells several listeners. */
export const both = (witnesses: readonly Witness[]): Witness => ({
  taskOn: (task, machine, attempt, fetchUs) => {
    for (const witness of witnesses) witness.taskOn(task, machine, attempt, fetchUs);
  },
  taskOff: (task, machine) => {
    for (const witness of witnesses) witness.taskOff(task, machine);
  },
  taskEnded: (task, machine, cause, ranUs) => {
    for (const witness of witnesses) witness.taskEnded(task, machine, cause, ranUs);
  },
  taskDone: (task) => {
    for (const witness of witnesses) witness.taskDone(task);
  },
  machineAsked: (machine) => {
    for (const witness of witnesses) witness.machineAsked(machine);
  },
  machineUp: (machine) => {
    for (const witness of witnesses) witness.machineUp(machine);
  },
  machineGone: (machine, why) => {
    for (const witness of witnesses) witness.machineGone(machine, why);
  },
  refused: (type, zone, spot) => {
    for (const witness of witnesses) witness.refused(type, zone, spot);
  },
  leaseOver: (machine, tasks) => {
    for (const witness of witnesses) witness.leaseOver(machine, tasks);
  },
});
