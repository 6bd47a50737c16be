import hdr from "hdr-histogram-js";
import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import type { HttpClient, HttpOutcome, HttpRequest, HttpResponse } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { RELAY_ALLOWANCE } from "../transport/timeouts.js";
import type { FrameConnection, FrameTransport } from "./frame-connection.js";
import {
  AGE_NEVER,
  FrameDecoder,
  MAX_FRAME_BYTES,
  MalformedFrameError,
  type MeshFrame,
  type PeerHeartbeat,
} from "./frames.js";
import { HEARTBEAT_PERIOD, PeerConnection } from "./peer-connection.js";
import {
  isDirectLinkUsable,
  type LinkStatus,
  type PeerSnapshot,
  selectRelayPeer,
  type UpstreamLinks,
} from "./relay-route.js";
import { UpstreamLinkMonitor } from "./upstream-link-monitor.js";

/** Calls carried for siblings at once, by the own level: relayed work is shed before one's own. */
const MAX_RELAYED_CALLS = [256, 128, 48, 8] as const;
/** Whoever connects says within this time who it is. */
const HELLO_TIMEOUT = seconds(3);
/** Reports that ought to have come in a silence before it means anything, and the least such silence. */
const MISSED_HEARTBEATS = 8;
const MIN_WORKER_SILENCE = seconds(1.5);
/** Report periods; with few machines a silence has to be noticed before they are given up one by one. */
const MAX_WORKER_SILENCE_INTERVALS = 1.3;
/** A new holder's workers have to find it first. */
const NEW_LEADER_GRACE = seconds(3);
const EVENT_LOOP_STALL = seconds(1.2);
/** How long a machine counts as heard through a sibling after a report that came that way. */
const RELAYED_HEARTBEAT_TTL = seconds(20);
const MAX_RELAYED_WORKERS = 50_000;
/** One worker so often is sent to its deaf holder after all, to see whether it is heard again. */
const REDIRECT_PERIOD = seconds(4);
const SUMMARY_PERIOD = seconds(30);
/** How long a change has to stand until it is said. */
const STABLE_FOR = seconds(1.2);

export interface MeshMember {
  readonly label: string;
  readonly address: string;
}

export interface MeshOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly transport: FrameTransport;
  /** By the own way. */
  readonly http: HttpClient;
  readonly label: string;
  readonly incarnation: string;
  readonly peers: readonly MeshMember[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly heartbeatInterval: Micros;
  /** 0 normal to 3 full. */
  readonly loadLevel: () => number;
  /** Machines held here that are up, and since when; null: none are held. */
  readonly leadership: () => { readonly machines: number; readonly since: Micros } | null;
  /** A worker's report that came to the sibling `through`. */
  readonly handleHeartbeat: (request: HttpRequest, through: string) => Promise<HttpResponse>;
}

interface PendingRelay {
  readonly settle: (outcome: HttpOutcome) => void;
  readonly peer: string;
}

/**
 * Connections to all siblings, what each of them reaches, and calls through them where the own way fails. Nothing rests
 * on it for a rule: a carried call is the caller's own, sent by another way; its rights count from before it left here,
 * and one that comes late or twice is one of the protocol's delayed messages.
 */
export class Mesh {
  private readonly peers = new Map<string, PeerConnection>();
  private readonly asked = new Map<number, PendingRelay>();
  private nextId = 1;
  private sequence = 0;
  private carrying = 0;
  private readonly links: UpstreamLinkMonitor;
  private heardAt: Micros;
  private awakeSince: Micros;
  private lastBeat: Micros;
  private deaf = false;
  /** When the workers were last found to be cut off from here, or heard again. */
  workerPathChangedAt: Micros | null = null;
  private readonly through = new Map<string, { readonly peer: string; readonly at: Micros }>();
  private triedAt: Micros = 0 as Micros;
  private told = "";
  private seen = "";
  private seenSince = 0 as Micros;
  private summedAt: Micros;
  private counts = { calls: 0, failed: 0, reports: 0, carried: 0, shed: 0 };
  private readonly took = hdr.build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 2 });

  constructor(private readonly options: MeshOptions) {
    const { clock, log, random, transport, label, incarnation, peers } = options;
    this.links = new UpstreamLinkMonitor(options);
    const hello: MeshFrame = { type: "hello", label, incarnation };
    for (const sibling of peers) {
      const peer = new PeerConnection(
        sibling.label,
        sibling.address,
        label < sibling.label,
        hello,
        { clock, log, transport, random },
        {
          onFrame: (frame) => this.take(sibling.label, frame),
          onClosed: () => this.lose(sibling.label),
        },
      );
      this.peers.set(sibling.label, peer);
    }
    this.heardAt = clock.now();
    this.awakeSince = clock.now();
    this.lastBeat = clock.now();
    this.summedAt = clock.now();
  }

  start(): void {
    this.options.transport.listen((wire) => this.greet(wire));
    for (const peer of this.peers.values()) peer.start();
    this.beat();
  }

  /** The client for all calls of this controller: by the own way, or through a sibling where that one fails. */
  get client(): HttpClient {
    return { call: (address, request, timeout) => this.call(address, request, timeout) };
  }

  /** A worker's report has come by the own way, for machines held here. */
  recordDirectHeartbeat(address: string): void {
    this.heardAt = this.options.clock.now();
    this.through.delete(address);
  }

  /** A report came through a sibling: the machine is spoken to that way as well. */
  recordRelayedHeartbeat(address: string, peer: string): void {
    this.through.delete(address);
    this.through.set(address, { peer, at: this.options.clock.now() });
    if (this.through.size <= MAX_RELAYED_WORKERS) return;
    const [oldest] = this.through.keys();
    if (oldest !== undefined) this.through.delete(oldest);
  }

  /**
   * The holder's answer to a report that came here, where the holder hears no worker itself; null: send the worker there.
   */
  async relayHeartbeat(leader: string, request: HttpRequest): Promise<HttpResponse | null> {
    const { clock } = this.options;
    const peer = this.peers.get(leader);
    if (peer === undefined || !peer.isUsable(clock.now()) || peer.heartbeat?.cutOffFromWorkers !== true) return null;
    if (clock.now() - this.triedAt > REDIRECT_PERIOD) {
      this.triedAt = clock.now();
      return null;
    }
    this.counts.reports += 1;
    const outcome = await this.ask(peer, "", request, ms(2_500));
    if (outcome.kind !== "answer" || outcome.status !== 200) return null;
    return { status: 200, body: outcome.body };
  }

  /** How things stand, for people. */
  linkTable(): {
    readonly state: LinkStatus;
    readonly cloud: LinkStatus;
    readonly workers: "heard" | "cut off from me" | "none held here";
    readonly siblings: Readonly<Record<string, "reached" | "not reached">>;
  } {
    const peers = this.views();
    const ways = this.waysNow();
    const now = this.options.clock.now();
    const standing = (target: "store" | "cloud"): LinkStatus => this.links.statusOf(target, ways, peers);
    return {
      state: standing("store"),
      cloud: standing("cloud"),
      workers: this.options.leadership() === null ? "none held here" : this.deaf ? "cut off from me" : "heard",
      siblings: Object.fromEntries(
        [...this.peers.values()].map((peer) => [peer.label, peer.isUsable(now) ? "reached" : "not reached"]),
      ),
    };
  }

  // Calls -------------------------------------------------------------------------------------------------

  private async call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    const { clock, http } = this.options;
    const target = this.links.targetOf(address);
    const through = target === "worker" ? this.throughOf(address) : null;
    const ways = this.waysNow();
    const label = isDirectLinkUsable(target, ways, through)
      ? null
      : selectRelayPeer(target, ways, this.views(), through);
    const peer = label === null ? undefined : this.peers.get(label);
    if (peer !== undefined) {
      const since = clock.now();
      const outcome = await this.ask(peer, address, request, timeout);
      this.counts.calls += 1;
      if (outcome.kind !== "answer") this.counts.failed += 1;
      this.took.recordValue(Math.min(60_000, Math.ceil((clock.now() - since) / 1_000)));
      return outcome;
    }
    const outcome = await http.call(address, request, timeout);
    this.links.recordOutcome(target, outcome);
    return outcome;
  }

  private throughOf(address: string): string | null {
    const known = this.through.get(address);
    return known !== undefined && this.options.clock.now() - known.at < RELAYED_HEARTBEAT_TTL ? known.peer : null;
  }

  private waysNow(): UpstreamLinks {
    return { failing: this.links.failing, cutOffFromWorkers: this.deaf };
  }

  private views(): PeerSnapshot[] {
    const now = this.options.clock.now();
    return [...this.peers.values()].map((peer) => ({
      label: peer.label,
      usable: peer.isUsable(now),
      heartbeat: peer.heartbeat,
      phi: peer.detector.phi(now),
    }));
  }

  // Frames ------------------------------------------------------------------------------------------------

  private ask(peer: PeerConnection, address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    const { clock } = this.options;
    const id = this.nextId;
    this.nextId = id >= AGE_NEVER ? 1 : id + 1;
    return new Promise((resolve) => {
      const settle = (outcome: HttpOutcome): void => {
        if (!this.asked.delete(id)) return;
        timer.cancel();
        resolve(outcome);
      };
      // From here on it may have been executed, or may yet be.
      const timer: Timer = clock.after((timeout + RELAY_ALLOWANCE) as Micros, () => settle({ kind: "lost" }));
      this.asked.set(id, { settle, peer: peer.label });
      const sent = peer.send({ type: "relay-request", id, address, timeoutMs: Math.ceil(timeout / 1_000), request });
      if (!sent) settle({ kind: "unsent" });
    });
  }

  private take(from: string, frame: Exclude<MeshFrame, { readonly type: "hello" | "heartbeat" }>): void {
    if (frame.type === "relay-response") {
      const asked = this.asked.get(frame.id);
      if (asked?.peer === from) asked.settle(frame.outcome);
      return;
    }
    const { id, address, request, timeoutMs } = frame;
    const answer = (given: HttpOutcome): void => {
      const tooLong = given.kind === "answer" && Buffer.byteLength(given.body) > MAX_FRAME_BYTES / 2;
      this.peers.get(from)?.send({ type: "relay-response", id, outcome: tooLong ? { kind: "lost" } : given });
    };
    if (this.carrying >= (MAX_RELAYED_CALLS[this.options.loadLevel()] ?? 0)) {
      this.counts.shed += 1;
      answer({ kind: "unsent" });
      return;
    }
    this.carrying += 1;
    this.counts.carried += 1;
    void this.carry(from, address, request, ms(timeoutMs))
      .then(answer, (error: unknown) => {
        this.options.log.error("carrying failed", { error: String(error) });
        answer({ kind: "lost" });
      })
      .finally(() => {
        this.carrying -= 1;
      });
  }

  /** By the own way and no other; nothing is answered that did not come from where it was sent. */
  private async carry(from: string, address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    if (address !== "") {
      const outcome = await this.options.http.call(address, request, timeout);
      this.links.recordOutcome(this.links.targetOf(address), outcome);
      return outcome;
    }
    const { status, body, retryAfterS } = await this.options.handleHeartbeat(request, from);
    return { kind: "answer", status, body, retryAfterS: retryAfterS ?? null };
  }

  private lose(peer: string): void {
    for (const { peer: asked, settle } of [...this.asked.values()]) if (asked === peer) settle({ kind: "lost" });
  }

  /** Somebody has connected: the first frame says who. */
  private greet(wire: FrameConnection): void {
    const { clock, log, label } = this.options;
    const reader = new FrameDecoder();
    const timer = clock.after(HELLO_TIMEOUT, () => wire.close());
    wire.onClosed = () => timer.cancel();
    wire.onData = (data) => {
      try {
        const [first, ...rest] = reader.decode(data);
        if (first === undefined) return;
        timer.cancel();
        const peer = first.type === "hello" ? this.peers.get(first.label) : undefined;
        // Only those that are to dial, so that two connections do not take turns in ending each other.
        if (peer === undefined || peer.label > label) throw new MalformedFrameError("not a sibling that dials here");
        peer.accept(wire, rest);
      } catch (error) {
        if (!(error instanceof MalformedFrameError)) throw error;
        log.error("mesh frame", { peer: "?", error: error.message });
        timer.cancel();
        wire.close();
      }
    };
  }

  // Beats -------------------------------------------------------------------------------------------------

  private beat(): void {
    const { clock, loadLevel: level } = this.options;
    const now = clock.now();
    // After a standstill everybody seems silent until what has arrived meanwhile is read.
    if (now - this.lastBeat > EVENT_LOOP_STALL) {
      this.awakeSince = now;
      this.options.log.info("I stood still", { forMs: Math.round((now - this.lastBeat - HEARTBEAT_PERIOD) / 1_000) });
    }
    this.lastBeat = now;
    const deaf = this.isDeaf(now);
    if (deaf !== this.deaf) this.workerPathChangedAt = now;
    this.deaf = deaf;
    this.links.probeFailingLinks();
    this.sequence += 1;
    const beat: PeerHeartbeat = {
      sequence: this.sequence,
      loadLevel: level(),
      storeAgeMs: this.links.ageMs("store"),
      cloudAgeMs: this.links.ageMs("cloud"),
      cutOffFromWorkers: this.deaf,
    };
    for (const peer of this.peers.values()) {
      peer.closeIfSilent(now);
      peer.send({ type: "heartbeat", heartbeat: beat });
    }
    this.sayChanges(now);
    clock.after(HEARTBEAT_PERIOD, () => this.beat());
  }

  private isDeaf(now: Micros): boolean {
    const holding = this.options.leadership();
    if (holding === null || holding.machines < 3) return false;
    const { heartbeatInterval } = this.options;
    const quiet = Math.min(
      heartbeatInterval * MAX_WORKER_SILENCE_INTERVALS,
      Math.max(MIN_WORKER_SILENCE, (MISSED_HEARTBEATS * heartbeatInterval) / holding.machines),
    );
    const since = Math.max(this.heardAt, this.awakeSince);
    return now - since > quiet && now - holding.since > NEW_LEADER_GRACE;
  }

  private sayChanges(now: Micros): void {
    const { log } = this.options;
    const table = this.linkTable();
    const text = JSON.stringify(table);
    if (text !== this.seen) this.seenSince = now;
    this.seen = text;
    // What siblings say lags by a beat or two: an outage looks like a cut of one's own for that long.
    if (text !== this.told && now - this.seenSince >= STABLE_FOR) {
      log.info("links", table);
      this.told = text;
    }
    if (now - this.summedAt < SUMMARY_PERIOD) return;
    this.summedAt = now;
    const { counts } = this;
    if (counts.calls + counts.reports + counts.carried + counts.shed > 0) {
      const at = (percent: number): number => this.took.getValueAtPercentile(percent);
      log.info("mesh", { ...counts, callP50Ms: at(50), callP99Ms: at(99) });
    }
    this.counts = { calls: 0, failed: 0, reports: 0, carried: 0, shed: 0 };
    this.took.reset();
  }
}
