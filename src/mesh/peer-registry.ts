/** The connections to all peers, keyed by label. */
import type { Clock, Micros } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { FrameTransport } from "./frame-connection.js";
import type { HelloFrame, PeerHeartbeat, RelayFrame } from "./frames.js";
import { awaitHello } from "./incoming-handshake.js";
import { PeerStatus } from "./link-status.js";
import { PeerConnection, type ReplySender } from "./peer-connection.js";
import type { PeerSnapshot } from "./relay-route.js";

/** A controller of the deployment, as configured. */
export interface MeshMember {
  readonly label: string;
  /** `host:port` on which it accepts peer connections. */
  readonly address: string;
}

/** Settings and dependencies of the registry. */
export interface PeerRegistryOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  readonly transport: FrameTransport;
  /** Label and incarnation of this controller. */
  readonly label: string;
  readonly incarnation: string;
  readonly peers: readonly MeshMember[];
}

/** Receives the frames of all peers and the end of their connections. */
export interface PeerListener {
  onFrame(peer: string, frame: RelayFrame, reply: ReplySender): void;
  /** The connection to the peer has ended. */
  onClosed(peer: string): void;
}

/** Opens, accepts and closes the connections to the peers. */
export class PeerRegistry {
  private readonly peers: ReadonlyMap<string, PeerConnection>;

  constructor(
    private readonly options: PeerRegistryOptions,
    listener: PeerListener,
  ) {
    this.peers = new Map(options.peers.map((member) => [member.label, this.createConnection(member, listener)]));
  }

  start(): void {
    const { clock, log, transport } = this.options;
    const peerOf = (label: string): PeerConnection | undefined => this.initiatingPeer(label);
    transport.listen((connection) => awaitHello(connection, { clock, log, peerOf }));
    for (const peer of this.peers.values()) peer.start();
  }

  /** Closes all connections permanently. The transport is left open: its owner closes it. */
  stop(): void {
    for (const peer of this.peers.values()) peer.stop();
  }

  /** Undefined: no peer with this label is configured. */
  get(label: string): PeerConnection | undefined {
    return this.peers.get(label);
  }

  /** Current state of all peers, in the order of the settings. */
  snapshots(): PeerSnapshot[] {
    const now = this.options.clock.now();
    return [...this.peers].map(([label, peer]) => ({
      label,
      usable: peer.isUsable(now),
      heartbeat: peer.liveness.heartbeat,
      phi: peer.liveness.phi(now),
    }));
  }

  /** Status of each connection, keyed by peer label. */
  statuses(): Record<string, PeerStatus> {
    const now = this.options.clock.now();
    return Object.fromEntries(
      [...this.peers].map(([label, peer]) => [
        label,
        peer.isUsable(now) ? PeerStatus.Connected : PeerStatus.Disconnected,
      ]),
    );
  }

  /** Closes connections to silent peers, and sends the heartbeat to all connected peers. */
  broadcast(heartbeat: PeerHeartbeat, now: Micros): void {
    for (const peer of this.peers.values()) {
      peer.closeIfSilent(now);
      peer.send({ type: "heartbeat", heartbeat });
    }
  }

  private createConnection({ label, address }: MeshMember, listener: PeerListener): PeerConnection {
    const { clock, log, transport, random, label: ownLabel, incarnation } = this.options;
    const hello: HelloFrame = { type: "hello", label: ownLabel, incarnation };
    return new PeerConnection({
      clock,
      log,
      transport,
      random,
      label,
      address,
      initiates: ownLabel < label,
      hello,
      listener: {
        onFrame: (frame, reply) => listener.onFrame(label, frame, reply),
        onClosed: () => listener.onClosed(label),
      },
    });
  }

  /** Only peers that must open the connection, since otherwise connections opened by both sides replace each other. */
  private initiatingPeer(label: string): PeerConnection | undefined {
    return label < this.options.label ? this.peers.get(label) : undefined;
  }
}
