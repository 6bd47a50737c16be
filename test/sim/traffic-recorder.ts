/** Records what a simulated cluster sends and stores, for comparison between versions of the program. */
import type { KeyChange } from "../../src/model/index.js";
import type { HttpRequest, HttpResponse } from "../../src/transport/http.js";
import type { Cluster } from "./cluster.js";

/** First field after the time of a line; part of the digests, so never renamed. */
type RecordKind = "sent" | "arrived" | "answered" | "frame" | "stored" | "removed";

/** Receives one line of JSON a record, without the line end. */
export type LineListener = (line: string) => void;

/**
 * Listens to the network, the connections between controllers and the key-value store of a cluster that has not run
 * yet. Each line is a JSON array: time in simulated microseconds, kind of record, then what is on the wire or in the
 * store. Log lines, names in the code and counters of the emulator are not recorded. Existing handlers still run.
 */
export class TrafficRecorder {
  constructor(
    private readonly cluster: Cluster,
    private readonly onLine: LineListener,
  ) {
    this.listenToRequests();
    this.listenToResponses();
    this.listenToFrames();
    this.cluster.state.onChange = (change) => this.recordChange(change);
  }

  private record(kind: RecordKind, ...fields: readonly unknown[]): void {
    this.onLine(JSON.stringify([this.cluster.world.now, kind, ...fields]));
  }

  private recordRequest(kind: "sent" | "arrived", from: string, to: string, request: HttpRequest): void {
    this.record(kind, from, to, request.method, request.target, request.body);
  }

  private listenToRequests(): void {
    const { network } = this.cluster;
    const { rewrite, onRequest } = network;
    network.rewrite = (from, to, request) => {
      const sent = rewrite?.(from, to, request) ?? request;
      this.recordRequest("sent", from, to, sent);
      return sent;
    };
    network.onRequest = (from, to, request) => {
      this.recordRequest("arrived", from, to, request);
      onRequest?.(from, to, request);
    };
  }

  private listenToResponses(): void {
    const { network } = this.cluster;
    const { tamper } = network;
    network.tamper = (from, to, request, given) => {
      const response: HttpResponse = tamper?.(from, to, request, given) ?? given;
      const { status, body, retryAfterS = null, close = false } = response;
      this.record("answered", from, to, request.method, request.target, status, retryAfterS, close, body);
      return response;
    };
  }

  private listenToFrames(): void {
    this.cluster.site.wires.onSend = (from, to, data) => this.record("frame", from, to, data.toString("base64"));
  }

  private recordChange({ key, value, revision }: KeyChange): void {
    if (value === undefined) this.record("removed", key, revision);
    else this.record("stored", key, revision, JSON.stringify(value));
  }
}
