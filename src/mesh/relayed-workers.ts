/** Workers whose latest heartbeat was relayed by a peer, and which are therefore called through that peer. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";

/** A worker is called through the peer for this long after its last heartbeat relayed by it. */
const RELAYED_HEARTBEAT_TTL = seconds(20);
/** Above this number the worker with the oldest relayed heartbeat is evicted. */
const MAX_RELAYED_WORKERS = 50_000;

/** Relaying peers by worker address, ordered by the time of the latest relayed heartbeat. */
export class RelayedWorkers {
  private readonly peers = new Map<string, { readonly peer: string; readonly at: Micros }>();

  constructor(private readonly clock: Clock) {}

  /** Records that `peer` relayed a heartbeat of the worker at `address`. */
  record(address: string, peer: string): void {
    this.peers.delete(address);
    this.peers.set(address, { peer, at: this.clock.now() });
    if (this.peers.size <= MAX_RELAYED_WORKERS) return;
    const [oldest] = this.peers.keys();
    if (oldest !== undefined) this.peers.delete(oldest);
  }

  /** Removes the entry of a worker whose heartbeats are received over a direct link again. */
  forget(address: string): void {
    this.peers.delete(address);
  }

  /** Label of the peer to call the worker through; null: the worker is called directly. */
  peerOf(address: string): string | null {
    const relayed = this.peers.get(address);
    if (relayed === undefined || this.clock.now() - relayed.at >= RELAYED_HEARTBEAT_TTL) return null;
    return relayed.peer;
  }
}
