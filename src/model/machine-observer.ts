/** Actual attributes of a machine. */
export interface HostInfo {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Exit cause of an attempt, as reported by workers. */
export type EndCause = "done" | "halted" | "error" | "full" | "in_use" | "no_such" | "mates_gone" | "incomplete";

/**
 * Observer of the emulated machines: receives the ground truth, independent of any controller's view. Used by the
 * invariant checker of the tests and by the what-if accounting; it has no influence on the simulation.
 */
export interface MachineObserver {
  /** The task starts on the machine; fetching its image took `fetchUs` microseconds from the start command on. */
  taskOn(task: string, machine: HostInfo, attempt: number, fetchUs: number): void;
  /** The task is no longer on the machine. */
  taskOff(task: string, machine: HostInfo): void;
  /** The attempt exited, was stopped by a command, or was refused; `ranUs` is its run time in microseconds. */
  taskEnded(task: string, machine: HostInfo, cause: EndCause, ranUs: number): void;
  /** The task has completed and its result is stored. */
  taskDone(task: string): void;
  /** The machine has been rented and starts to boot. */
  machineAsked(machine: HostInfo): void;
  machineUp(machine: HostInfo): void;
  /** The machine was deleted, reclaimed by the cloud ("taken") or failed, with all its tasks. */
  machineGone(machine: HostInfo, why: "deleted" | "taken" | "failed"): void;
  /** A provisioning request was not granted in full, for lack of capacity. */
  refused(type: string, zone: string, spot: boolean): void;
  /** The worker's lease expired, which killed this number of tasks. */
  leaseExpired(machine: HostInfo, tasks: number): void;
}

const nothing = (): void => undefined;

/** Observer that ignores everything; a base for partial observers. */
export const noopObserver: MachineObserver = {
  taskOn: nothing,
  taskOff: nothing,
  taskEnded: nothing,
  taskDone: nothing,
  machineAsked: nothing,
  machineUp: nothing,
  machineGone: nothing,
  refused: nothing,
  leaseExpired: nothing,
};

/** Combines several observers into one. */
export const combineObservers = (witnesses: readonly MachineObserver[]): MachineObserver => ({
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
  leaseExpired: (machine, tasks) => {
    for (const witness of witnesses) witness.leaseExpired(machine, tasks);
  },
});
