/** Requests to peers to make a call, and their responses. */
import type { Clock, Micros, Timer } from "../transport/clock.js";
import type { HttpOutcome, HttpRequest } from "../transport/http.js";
import { RELAY_ALLOWANCE } from "../transport/timeouts.js";
import { MAX_UINT32, type RelayResponseFrame } from "./frames.js";
import type { PeerConnection } from "./peer-connection.js";

const MICROS_PER_MILLISECOND = 1_000;

/** A call that a peer is to make. */
export interface RelayedCall {
  /** `host:port`; empty: the request is for the peer itself. */
  readonly address: string;
  readonly request: HttpRequest;
  /** For the call itself; the relay may take `RELAY_ALLOWANCE` beyond it. */
  readonly timeout: Micros;
}

interface PendingRelay {
  readonly peer: string;
  readonly settle: (outcome: HttpOutcome) => void;
}

/** Matches responses to requests, and gives up those that get none. */
export class RelayClient {
  private readonly pending = new Map<number, PendingRelay>();
  private nextId = 1;

  constructor(private readonly clock: Clock) {}

  /**
   * The outcome of a call that the peer of this label makes. Never rejects. `unsent`: the request has not left; `lost`:
   * the call may have been executed, or may yet be.
   */
  call(label: string, peer: PeerConnection, { address, request, timeout }: RelayedCall): Promise<HttpOutcome> {
    const id = this.nextId;
    this.nextId = id >= MAX_UINT32 ? 1 : id + 1;
    return new Promise((resolve) => {
      const settle = (outcome: HttpOutcome): void => {
        if (!this.pending.delete(id)) return;
        timer.cancel();
        resolve(outcome);
      };
      const patience = (timeout + RELAY_ALLOWANCE) as Micros;
      const timer: Timer = this.clock.after(patience, () => settle({ kind: "lost" }));
      this.pending.set(id, { settle, peer: label });
      const timeoutMs = Math.ceil(timeout / MICROS_PER_MILLISECOND);
      const sent = peer.send({ type: "relay-request", id, address, timeoutMs, request });
      if (!sent) settle({ kind: "unsent" });
    });
  }

  /** Takes a response; one that comes late, twice or from another peer is ignored. */
  receive(peer: string, { id, outcome }: RelayResponseFrame): void {
    const pending = this.pending.get(id);
    if (pending?.peer === peer) pending.settle(outcome);
  }

  /** The connection to the peer has ended: what it was asked may have been executed. */
  failAll(peer: string): void {
    for (const pending of [...this.pending.values()]) if (pending.peer === peer) pending.settle({ kind: "lost" });
  }
}
