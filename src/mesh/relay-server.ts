/** Makes calls on behalf of peers. */
import { ms } from "../transport/clock.js";
import type { HttpClient, HttpOutcome, HttpRequest, HttpResponse } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { MAX_FRAME_BYTES } from "./frame-codec.js";
import type { RelayRequestFrame, RelayResponseFrame } from "./frames.js";
import { LogEvent } from "./log-events.js";
import type { RelayStatistics } from "./relay-statistics.js";
import type { UpstreamLinkMonitor } from "./upstream-link-monitor.js";

/** Maximum concurrent calls for peers, by this controller's load level: relayed work is shed before its own. */
const MAX_RELAYED_CALLS = [256, 128, 48, 8] as const;
/** Largest response body that is relayed; a call with a larger one ends as `lost`. */
const MAX_RELAYED_BODY_BYTES = MAX_FRAME_BYTES / 2;

/** Dependencies and callbacks of the server. */
export interface RelayServerOptions {
  readonly log: Log;
  /** Calls over the direct link. */
  readonly http: HttpClient;
  readonly links: UpstreamLinkMonitor;
  readonly statistics: RelayStatistics;
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: () => number;
  /** Handles a worker's heartbeat that was relayed by the peer `relayPeer`. */
  readonly handleHeartbeat: (request: HttpRequest, relayPeer: string) => Promise<HttpResponse>;
}

/** Makes a bounded number of concurrent calls for peers, over direct links only. */
export class RelayServer {
  private activeCalls = 0;

  constructor(private readonly options: RelayServerOptions) {}

  /** Calls `respond` exactly once, synchronously if the call is rejected. */
  handle(peer: string, frame: RelayRequestFrame, respond: (response: RelayResponseFrame) => void): void {
    const { id } = frame;
    const respondWith = (outcome: HttpOutcome): void =>
      respond({ type: "relay-response", id, outcome: isTooLarge(outcome) ? { kind: "lost" } : outcome });
    if (this.activeCalls >= (MAX_RELAYED_CALLS[this.options.loadLevel()] ?? 0)) {
      this.options.statistics.recordRejectedCall();
      respondWith({ kind: "unsent" });
      return;
    }
    this.activeCalls += 1;
    this.options.statistics.recordServedCall();
    void this.relay(peer, frame)
      .then(respondWith, (error: unknown) => {
        this.options.log.error(LogEvent.RelayFailed, { error: String(error) });
        respondWith({ kind: "lost" });
      })
      .finally(() => {
        this.activeCalls -= 1;
      });
  }

  /** An outcome of kind `answer` is always a response of the addressee; no error of the relay is converted into one. */
  private async relay(peer: string, { address, request, timeoutMs }: RelayRequestFrame): Promise<HttpOutcome> {
    const { http, links, handleHeartbeat } = this.options;
    if (address !== "") {
      const outcome = await http.call(address, request, ms(timeoutMs));
      links.recordOutcome(links.targetOf(address), outcome);
      return outcome;
    }
    const { status, body, retryAfterS } = await handleHeartbeat(request, peer);
    return { kind: "answer", status, body, retryAfterS: retryAfterS ?? null };
  }
}

const isTooLarge = (outcome: HttpOutcome): boolean =>
  outcome.kind === "answer" && Buffer.byteLength(outcome.body) > MAX_RELAYED_BODY_BYTES;
