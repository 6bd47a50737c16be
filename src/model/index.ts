/** The emulator: the environment of the controllers' real code, for tests, `local`, what-if and experiments. */
export { jobBehaviour } from "./behaviour.js";
export {
  type CloudMachine,
  CloudService,
  DEFAULT_BOOTS,
  fixedCapacity,
  RELIABLE_BOOTS,
  type Room,
} from "./cloud-service.js";
export { Curious } from "./curious.js";
export { type Bounds, type Costs, MEASURED, ProcessModel, type Usage } from "./door.js";
export { Executor, type ExecutorEnvironment, type RunningTask } from "./executor.js";
export { type FastSetup, FastSite } from "./fast-site.js";
export { type LocalSetup, LocalSite } from "./local-site.js";
export { Loopback, PortError, RealTime } from "./loopback.js";
export { type Host, json, type Net, Network, type Serve } from "./network.js";
export { NamedRandom, Random } from "./random.js";
export { sampleJobs, sampleSite } from "./sample.js";
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
export { type Behaviour, GroundTruth, jobOf } from "./truth.js";
export { type Hearing, type Odd, PLAIN_USERS, type Quirks, type Submission, Users } from "./users.js";
export { both, type EndCause, type HostInfo, nobody, type Witness } from "./witness.js";
export { Worker, type WorkerEnvironment } from "./worker.js";
export { HostClock, S, type Timeline, World } from "./world.js";
