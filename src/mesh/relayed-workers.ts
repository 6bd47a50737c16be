/** The workers whose latest heartbeat came through a peer, and that are therefore called through it. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";

/** A worker is called through the peer for this long after its last heartbeat that came that way. */
const RELAYED_HEARTBEAT_TTL = seconds(20);
/** Beyond it the worker heard least recently is forgotten. */
const MAX_RELAYED_WORKERS = 50_000;

/** Peers by address of the worker, in order of the latest heartbeat. */
export class RelayedWorkers {
  private readonly peers = new Map<string, { readonly peer: string; readonly at: Micros }>();

  constructor(private readonly clock: Clock) {}

  /** A heartbeat of the worker at `address` came through `peer`. */
  record(address: string, peer: string): void {
    this.peers.delete(address);
    this.peers.set(address, { peer, at: this.clock.now() });
    if (this.peers.size <= MAX_RELAYED_WORKERS) return;
    const [oldest] = this.peers.keys();
    if (oldest !== undefined) this.peers.delete(oldest);
  }

  /** The worker's heartbeats come over a direct link again. */
  forget(address: string): void {
    this.peers.delete(address);
  }

  /** Label of the peer; null: the worker is called directly. */
  peerOf(address: string): string | null {
    const relayed = this.peers.get(address);
    if (relayed === undefined || this.clock.now() - relayed.at >= RELAYED_HEARTBEAT_TTL) return null;
    return relayed.peer;
  }
}
