/** Heartbeats of one peer over its present connection, and what their timing says of the peer. */
import { ms } from "../transport/clock.js";
import type { PeerHeartbeat } from "./frames.js";
import { PhiAccrualDetector } from "./phi-accrual-detector.js";

/** Controllers send each other a heartbeat this often. */
export const HEARTBEAT_PERIOD = ms(400);
/** From this suspicion on a peer is not relied on. */
const UNUSABLE_PHI = 3;
/** Above this suspicion the connection is given up, with all calls that are under way over it. */
const SILENCE_PHI = 40;

/** Latest heartbeat of a peer, and how overdue the next one is. */
export class PeerLiveness {
  private readonly detector = new PhiAccrualDetector(HEARTBEAT_PERIOD);
  private latest: PeerHeartbeat | null = null;

  /** Null: none yet on the present connection. */
  get heartbeat(): PeerHeartbeat | null {
    return this.latest;
  }

  /** Takes a heartbeat; one that is repeated or older than the latest is ignored. */
  record(heartbeat: PeerHeartbeat, now: number): void {
    if (this.latest !== null && heartbeat.sequence <= this.latest.sequence) return;
    this.latest = heartbeat;
    this.detector.recordHeartbeat(now);
  }

  /** Forgets the heartbeats, for a new connection. */
  reset(): void {
    this.latest = null;
    this.detector.reset();
  }

  /** Suspicion that the peer is gone; infinite before the first heartbeat. */
  phi(now: number): number {
    return this.detector.phi(now);
  }

  /** Heartbeats have come recently enough to rely on the peer. */
  isAlive(now: number): boolean {
    return this.latest !== null && this.phi(now) < UNUSABLE_PHI;
  }

  /** Heartbeats came, and have stopped for too long to keep the connection. */
  isSilent(now: number): boolean {
    return this.latest !== null && this.phi(now) > SILENCE_PHI;
  }
}
