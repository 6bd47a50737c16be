/** Forwards workers' heartbeats to a shard leader that they cannot reach directly. */
import { type Clock, type Micros, ms, seconds } from "../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../transport/http.js";
import type { PeerRegistry } from "./peer-registry.js";
import type { RelayClient } from "./relay-client.js";
import type { RelayStatistics } from "./relay-statistics.js";

/** Once per period one worker is redirected to the leader anyway, so that a restored direct link is detected. */
const REDIRECT_PERIOD = seconds(4);
const FORWARD_TIMEOUT = ms(2_500);
const STATUS_OK = 200;

/** Dependencies of the forwarder. */
export interface HeartbeatForwarderOptions {
  readonly clock: Clock;
  readonly peers: PeerRegistry;
  readonly relayClient: RelayClient;
  readonly statistics: RelayStatistics;
}

/** Forwards only to a leader whose heartbeat reports that it is cut off from its workers. */
export class HeartbeatForwarder {
  private lastRedirectAt = 0 as Micros;

  constructor(private readonly options: HeartbeatForwarderOptions) {}

  /**
   * Forwards a worker's heartbeat that was sent to this controller. The leader's response; null: redirect the worker to
   * the leader.
   */
  async forward(leader: string, request: HttpRequest): Promise<HttpResponse | null> {
    const { clock, peers, relayClient, statistics } = this.options;
    const peer = peers.get(leader);
    if (peer === undefined || !peer.isUsable(clock.now())) return null;
    if (peer.liveness.heartbeat?.cutOffFromWorkers !== true) return null;
    if (clock.now() - this.lastRedirectAt > REDIRECT_PERIOD) {
      this.lastRedirectAt = clock.now();
      return null;
    }
    statistics.recordForwardedHeartbeat();
    const outcome = await relayClient.call(leader, peer, { address: "", request, timeout: FORWARD_TIMEOUT });
    if (outcome.kind !== "answer" || outcome.status !== STATUS_OK) return null;
    return { status: STATUS_OK, body: outcome.body };
  }
}
