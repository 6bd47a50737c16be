/** The environment that a controller is started with. */

import type { ClusterEventListener } from "../../cluster/events.js";
import type { Clock } from "../../transport/clock.js";
import type { HttpClient } from "../../transport/http.js";
import type { Log } from "../../transport/log.js";
import type { ExtensionFactory } from "../extension.js";
import type { LoadSource } from "../overload/load-shedder.js";
import type { MeshFactory } from "./mesh-port.js";

/** Clock, network and randomness of a controller, and its optional parts. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly random: () => number;
  /** Receives the events of jobs and machines in the shards that this controller leads. */
  readonly eventListener?: ClusterEventListener;
  /** Wall-clock time in milliseconds, accurate to within `settings.clockError`. */
  readonly wallClock?: () => number;
  /** Reads how near this process is to its memory and socket limits, where these can be read. */
  readonly load?: LoadSource;
  /** The most tasks that the leader of a shard holds in memory; absent: not limited. */
  readonly maxTasks?: number;
  /** Receives the number of machines and tasks that each placement round and scale plan inspected. */
  readonly onInspected?: (inspected: number) => void;
  /** Creates the extension, which submits jobs of its own; null or absent: disabled. */
  readonly extension?: ExtensionFactory | null;
  /** Creates the mesh of connections to the other controllers; null or absent: disabled. */
  readonly mesh?: MeshFactory | null;
}
