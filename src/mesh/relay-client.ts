/** Sends relay requests to peers and matches their responses. */
import type { Clock, Micros, Timer } from "../transport/clock.js";
import type { HttpOutcome, HttpRequest } from "../transport/http.js";
import { RELAY_ALLOWANCE } from "../transport/timeouts.js";
import { MAX_UINT32, type RelayResponseFrame } from "./frames.js";
import type { PeerConnection } from "./peer-connection.js";

const MICROS_PER_MILLISECOND = 1_000;

/** A call to be made by a peer. */
export interface RelayedCall {
  /** `host:port`; empty: a worker's heartbeat, which the peer itself handles. */
  readonly address: string;
  readonly request: HttpRequest;
  /** Time limit of the call itself, without the additional `RELAY_ALLOWANCE` for the relay. */
  readonly timeout: Micros;
}

interface PendingRelay {
  readonly peer: string;
  readonly settle: (outcome: HttpOutcome) => void;
}

/** Matches relay responses to pending requests; requests without a response time out as `lost`. */
export class RelayClient {
  private readonly pending = new Map<number, PendingRelay>();
  private nextId = 1;

  constructor(private readonly clock: Clock) {}

  /**
   * Outcome of a call made by `peer`, whose label is `label`. Never rejects. `unsent`: the call was not sent; `lost`:
   * the call may have been executed, or may still be.
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
      const relayTimeout = (timeout + RELAY_ALLOWANCE) as Micros;
      const timer: Timer = this.clock.after(relayTimeout, () => settle({ kind: "lost" }));
      this.pending.set(id, { settle, peer: label });
      const timeoutMs = Math.ceil(timeout / MICROS_PER_MILLISECOND);
      const sent = peer.send({ type: "relay-request", id, address, timeoutMs, request });
      if (!sent) settle({ kind: "unsent" });
    });
  }

  /** Handles a relay response; late and duplicate responses, and those from another peer, are ignored. */
  receive(peer: string, { id, outcome }: RelayResponseFrame): void {
    const pending = this.pending.get(id);
    if (pending?.peer === peer) pending.settle(outcome);
  }

  /** The connection to the peer has ended: its pending calls end as `lost`, since they may have been executed. */
  failAll(peer: string): void {
    for (const pending of [...this.pending.values()]) if (pending.peer === peer) pending.settle({ kind: "lost" });
  }
}
