/** The emulator: the environment of the controllers' real code, for tests, `local`, what-if and experiments. */

export {
  type CloudMachine,
  CloudService,
  DEFAULT_BOOTS,
  fixedCapacity,
  RELIABLE_BOOTS,
  type Room,
} from "./cloud-service.js";
export { Executor, type ExecutorEnvironment, type RunningTask } from "./executor.js";
export { type FastSetup, FastSite } from "./fast-site.js";
export { type Behaviour, GroundTruth, jobOf } from "./ground-truth.js";
export { jobBehaviour } from "./job-behaviour.js";
export { type LocalSetup, LocalSite } from "./local-site.js";
export { Loopback, PortError, RealTime } from "./loopback.js";
export {
  combineObservers,
  type EndCause,
  type HostInfo,
  type MachineObserver,
  noopObserver,
} from "./machine-observer.js";
export { type Host, json, type Net, Network, type Serve } from "./network.js";
export { ProbingUsers } from "./probing-users.js";
export { type Bounds, type Costs, MEASURED, ProcessModel, type Usage } from "./process-model.js";
export { NamedRandom, Random } from "./random.js";
export { sampleJobs, sampleSite } from "./sample-site.js";
export { HostClock, S, Simulation, type Timeline } from "./simulation.js";
export { Site, type SiteSetup, type SiteWatch, simulatedAddresses } from "./site.js";
export {
  type Addresses,
  type CapacitySpec,
  labelOf,
  type ObjectiveSpec,
  type SiteSpec,
  settingsOf,
  settingsText,
  type TeamSpec,
  type TypeSpec,
} from "./site-spec.js";
export { type KeyChange, StateService } from "./state-service.js";
export { PLAIN_USERS, type Quirks, type Submission, type SubmissionFault, type UserObserver, Users } from "./users.js";
export { Worker, type WorkerEnvironment } from "./worker.js";
