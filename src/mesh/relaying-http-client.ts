/** HTTP client that relays calls through a peer when the direct link fails. */
import type { Clock, Micros } from "../transport/clock.js";
import type { HttpClient, HttpOutcome, HttpRequest } from "../transport/http.js";
import type { PeerRegistry } from "./peer-registry.js";
import type { RelayClient } from "./relay-client.js";
import { type CallTarget, isDirectLinkUsable, selectRelayPeer } from "./relay-route.js";
import type { RelayStatistics } from "./relay-statistics.js";
import type { RelayedWorkers } from "./relayed-workers.js";
import type { UpstreamLinkMonitor } from "./upstream-link-monitor.js";
import type { WorkerPathMonitor } from "./worker-path-monitor.js";

/** Dependencies of the client. */
export interface RelayingHttpClientOptions {
  readonly clock: Clock;
  /** Calls over the direct link. */
  readonly http: HttpClient;
  readonly links: UpstreamLinkMonitor;
  readonly workerPath: WorkerPathMonitor;
  readonly relayedWorkers: RelayedWorkers;
  readonly peers: PeerRegistry;
  readonly relayClient: RelayClient;
  readonly statistics: RelayStatistics;
}

/**
 * Selects a route for each call. A call is sent once: if it fails over the selected route, it is not retried over
 * another, since it may have been executed.
 */
export class RelayingHttpClient implements HttpClient {
  constructor(private readonly options: RelayingHttpClientOptions) {}

  async call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    const { clock, http, links, peers, relayClient, statistics } = this.options;
    const target = links.targetOf(address);
    const label = this.relayPeerFor(target, address);
    const peer = label === null ? undefined : peers.get(label);
    if (label !== null && peer !== undefined) {
      const since = clock.now();
      const outcome = await relayClient.call(label, peer, { address, request, timeout });
      statistics.recordCall((clock.now() - since) as Micros, outcome.kind === "answer");
      return outcome;
    }
    const outcome = await http.call(address, request, timeout);
    links.recordOutcome(target, outcome);
    return outcome;
  }

  /** Label of the peer to relay through; null: use the direct link. */
  private relayPeerFor(target: CallTarget, address: string): string | null {
    const { links, workerPath, relayedWorkers, peers } = this.options;
    const relayPeer = target === "worker" ? relayedWorkers.peerOf(address) : null;
    const current = { failing: links.failing, cutOffFromWorkers: workerPath.isCutOff };
    if (isDirectLinkUsable(target, current, relayPeer)) return null;
    return selectRelayPeer(target, current, peers.snapshots(), relayPeer);
  }
}
