import type { Behaviour, HostInfo, Submission } from "../model/index.js";

/** What a trace is played on: the faithful model, the fast one, or real sockets on loopback. */
export interface Stage {
  readonly now: number;
  after(delay: number, run: () => void): unknown;
  submit(job: Submission, behaviour: Partial<Behaviour>): void;
  cancel(job: string): void;
  /** Machines that are up, in the order in which they were rented. */
  machines(): readonly HostInfo[];
  take(machine: string, why: "taken" | "failed"): void;
  notice(machine: string, withinUs: number): void;
  silent(machine: string, forUs: number): void;
  faulty(machine: string): void;
  refuse(type: string, zone: string, spot: boolean, forUs: number): void;
  cloudOutage(forUs: number): void;
  stateOutage(forUs: number): void;
  controllerEnd(controller: number, backAfterUs: number): void;
}
