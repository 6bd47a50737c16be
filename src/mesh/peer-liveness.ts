/** Heartbeats of one peer over its current connection, and the failure suspicion derived from their timing. */
import { ms } from "../transport/clock.js";
import type { PeerHeartbeat } from "./frames.js";
import { PhiAccrualDetector } from "./phi-accrual-detector.js";

/** Interval between the heartbeats that each controller sends to its peers. */
export const HEARTBEAT_PERIOD = ms(400);
/** From this phi on, no calls are relayed through the peer. */
const UNUSABLE_PHI = 3;
/** Above this phi the connection is closed, and all calls pending over it end as `lost`. */
const DISCONNECT_PHI = 40;

/** Latest heartbeat of a peer, and the suspicion (phi) that the peer has failed. */
export class PeerLiveness {
  private readonly detector = new PhiAccrualDetector(HEARTBEAT_PERIOD);
  private latest: PeerHeartbeat | null = null;

  /** Latest heartbeat; null: none yet on the current connection. */
  get heartbeat(): PeerHeartbeat | null {
    return this.latest;
  }

  /** Records a heartbeat received at `now`; duplicates and heartbeats older than the latest are ignored. */
  record(heartbeat: PeerHeartbeat, now: number): void {
    if (this.latest !== null && heartbeat.sequence <= this.latest.sequence) return;
    this.latest = heartbeat;
    this.detector.recordHeartbeat(now);
  }

  /** Discards all heartbeats, for a new connection. */
  reset(): void {
    this.latest = null;
    this.detector.reset();
  }

  /** Suspicion that the peer has failed; infinite before the first heartbeat. */
  phi(now: number): number {
    return this.detector.phi(now);
  }

  /** Whether heartbeats are recent enough for relaying through the peer. */
  isAlive(now: number): boolean {
    return this.latest !== null && this.phi(now) < UNUSABLE_PHI;
  }

  /** Whether heartbeats were received but have been missing for too long to keep the connection. */
  isSilent(now: number): boolean {
    return this.latest !== null && this.phi(now) > DISCONNECT_PHI;
  }
}
