import type { Behaviour, CloudService, HostInfo, StateService, Submission, Timeline, Users } from "../model/index.js";

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

/** A site whose parts are stand-ins, simulated or on sockets. */
interface StandIns {
  readonly cloud: CloudService;
  readonly state: StateService;
  readonly users: Users;
  crash(controller: number, backAfterUs: number): void;
}

/** What befalls such a site, the same however its parts reach each other. */
export const befalls = (
  site: StandIns,
  timeline: Timeline,
): Omit<Stage, "now" | "after" | "submit" | "machines" | "refuse"> => ({
  cancel: (job) => site.users.cancel(job),
  take: (machine, why) => site.cloud.take(machine, why),
  notice: (machine, withinUs) => site.cloud.machines.get(machine)?.worker?.notice(withinUs),
  silent: (machine, forUs) => site.cloud.machines.get(machine)?.worker?.hang(forUs),
  faulty: (machine) => site.cloud.machines.get(machine)?.worker?.makeFaulty(),
  cloudOutage: (forUs) => {
    site.cloud.outageUntil = Math.max(site.cloud.outageUntil, timeline.now + forUs);
  },
  stateOutage: (forUs) => site.state.outage(forUs),
  controllerEnd: (controller, backAfterUs) => site.crash(controller, backAfterUs),
});
