/** What a controller runs on. */

import type { ClusterEventListener } from "../../cluster/events.js";
import type { Clock } from "../../transport/clock.js";
import type { HttpClient } from "../../transport/http.js";
import type { Log } from "../../transport/log.js";
import type { ExtensionFactory } from "../extension.js";
import type { LoadSource } from "../overload/load-shedder.js";
import type { MeshFactory } from "./mesh-port.js";

/** What a controller runs on: clock, network, randomness, and what is optional. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly random: () => number;
  /** Told what happens to the jobs and machines of the shards led here. */
  readonly eventListener?: ClusterEventListener;
  /** Time of day in milliseconds, true within the bound of the settings. */
  readonly wallClock?: () => number;
  /** How near this process is to its limits, where that can be read. */
  readonly load?: LoadSource;
  /** Told how many machines and tasks each placement round and scaling plan inspected. */
  readonly onInspected?: (looks: number) => void;
  /** Adds jobs of its own, where that is switched on. */
  readonly extension?: ExtensionFactory | null;
  /** Connections to the other controllers, where these are switched on. */
  readonly mesh?: MeshFactory | null;
}
