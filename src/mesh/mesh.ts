/** Connections of one controller to all others, and calls relayed through them when its own links fail. */
import type { Micros } from "../transport/clock.js";
import type { HttpClient, HttpRequest, HttpResponse } from "../transport/http.js";
import type { PeerHeartbeat } from "./frames.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";
import { HeartbeatLoop } from "./heartbeat-loop.js";
import { LinkChangeLog } from "./link-change-log.js";
import type { LinkStatus, MeshLinkTable } from "./link-status.js";
import { PeerRegistry, type PeerRegistryOptions } from "./peer-registry.js";
import { RelayClient } from "./relay-client.js";
import type { UpstreamService } from "./relay-route.js";
import { RelayServer, type RelayServerOptions } from "./relay-server.js";
import { RelayStatistics } from "./relay-statistics.js";
import { RelayedWorkers } from "./relayed-workers.js";
import { RelayingHttpClient } from "./relaying-http-client.js";
import { UpstreamLinkMonitor, type UpstreamLinkMonitorOptions } from "./upstream-link-monitor.js";
import { WorkerPathMonitor, type WorkerPathMonitorOptions } from "./worker-path-monitor.js";

/** Settings, dependencies and callbacks of a mesh. */
export interface MeshOptions
  extends PeerRegistryOptions,
    UpstreamLinkMonitorOptions,
    WorkerPathMonitorOptions,
    Pick<RelayServerOptions, "loadLevel" | "handleHeartbeat"> {}

/**
 * The mesh of one controller. The scheduler's safety does not depend on it: a relayed call is the caller's own call
 * over another route. A lease is counted from before the call was sent, and the protocol already tolerates calls that
 * arrive late or twice.
 */
export class Mesh {
  /** For all calls of this controller: uses the direct link, or a peer when that link fails. */
  readonly client: HttpClient;
  private readonly links: UpstreamLinkMonitor;
  private readonly workerPath: WorkerPathMonitor;
  private readonly relayedWorkers: RelayedWorkers;
  private readonly peers: PeerRegistry;
  private readonly forwarder: HeartbeatForwarder;
  private readonly statistics: RelayStatistics;
  private readonly linkChanges: LinkChangeLog;
  private readonly loop: HeartbeatLoop;
  private sequence = 0;

  constructor(private readonly options: MeshOptions) {
    const { clock, log, http, loadLevel, handleHeartbeat } = options;
    const links = new UpstreamLinkMonitor(options);
    const workerPath = new WorkerPathMonitor(options);
    const relayedWorkers = new RelayedWorkers(clock);
    const statistics = new RelayStatistics(clock, log);
    const relayClient = new RelayClient(clock);
    const relayServer = new RelayServer({ log, http, links, statistics, loadLevel, handleHeartbeat });
    const peers = new PeerRegistry(options, {
      onFrame: (peer, frame, reply) => {
        if (frame.type === "relay-response") relayClient.receive(peer, frame);
        else relayServer.handle(peer, frame, reply);
      },
      onClosed: (peer) => relayClient.failAll(peer),
    });
    this.links = links;
    this.workerPath = workerPath;
    this.relayedWorkers = relayedWorkers;
    this.statistics = statistics;
    this.peers = peers;
    this.client = new RelayingHttpClient({
      clock,
      http,
      links,
      workerPath,
      relayedWorkers,
      peers,
      relayClient,
      statistics,
    });
    this.forwarder = new HeartbeatForwarder({ clock, peers, relayClient, statistics });
    this.linkChanges = new LinkChangeLog(log);
    this.loop = new HeartbeatLoop({
      clock,
      log,
      onStall: (now) => workerPath.recordStall(now),
      onIteration: (now) => this.runIteration(now),
    });
  }

  /** Starts to open and accept connections and to send heartbeats. */
  start(): void {
    this.peers.start();
    this.loop.start();
  }

  /** Stops heartbeats and closes all connections; pending relayed calls end as `lost`. */
  stop(): void {
    this.loop.stop();
    this.peers.stop();
  }

  /** When the workers were last detected as cut off from this controller, or as reachable again; null: never. */
  get workerPathChangedAt(): Micros | null {
    return this.workerPath.changedAt;
  }

  /** Records a worker heartbeat received over a direct link, for a shard led by this controller. */
  recordDirectHeartbeat(address: string): void {
    this.workerPath.recordDirectHeartbeat();
    this.relayedWorkers.forget(address);
  }

  /** Records a worker heartbeat relayed by a peer, for a shard led here: calls to the worker use that peer as well. */
  recordRelayedHeartbeat(address: string, peer: string): void {
    this.relayedWorkers.record(address, peer);
  }

  /**
   * Forwards a worker's heartbeat that was sent to this controller, if the shard leader is cut off from its workers.
   * The leader's response; null: redirect the worker to the leader.
   */
  forwardHeartbeat(leader: string, request: HttpRequest): Promise<HttpResponse | null> {
    return this.forwarder.forward(leader, request);
  }

  /** Status of all links, for operators. */
  linkTable(): MeshLinkTable {
    const peers = this.peers.snapshots();
    const current = { failing: this.links.failing, cutOffFromWorkers: this.workerPath.isCutOff };
    const statusOf = (service: UpstreamService): LinkStatus => this.links.statusOf(service, current, peers);
    return {
      state: statusOf("store"),
      cloud: statusOf("cloud"),
      workers: this.workerPath.status,
      siblings: this.peers.statuses(),
    };
  }

  private runIteration(now: Micros): void {
    this.workerPath.update(now);
    this.links.probeFailingLinks();
    this.peers.broadcast(this.nextHeartbeat(), now);
    this.linkChanges.update(this.linkTable(), now);
    this.statistics.summarize(now);
  }

  private nextHeartbeat(): PeerHeartbeat {
    this.sequence += 1;
    return {
      sequence: this.sequence,
      loadLevel: this.options.loadLevel(),
      storeAgeMs: this.links.ageMs("store"),
      cloudAgeMs: this.links.ageMs("cloud"),
      cutOffFromWorkers: this.workerPath.isCutOff,
    };
  }
}
