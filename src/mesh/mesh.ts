import hdr from "hdr-histogram-js";
import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import type { HttpClient, HttpOutcome, Request, Response } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { RELAY_ALLOWANCE } from "../transport/timeouts.js";
import { BadFrame, type Beat, type Frame, FrameReader, MAX_FRAME, NEVER } from "./frames.js";
import { BEAT_PERIOD, Peer } from "./peer.js";
import { ownWayStands, type PeerView, routeFor, type Standing, type Ways } from "./route.js";
import { OwnWays } from "./ways.js";
import type { Wire, Wires } from "./wire.js";

/** Calls carried for siblings at once, by the own level: relayed work is shed before one's own. */
const CARRIED = [256, 128, 48, 8] as const;
/** Whoever connects says within this time who it is. */
const GREETING = seconds(3);
/** Reports that ought to have come in a silence before it means anything, and the least such silence. */
const MISSED_REPORTS = 8;
const DEAF_LEAST = seconds(1.5);
/** Report periods; with few machines a silence has to be noticed before they are given up one by one. */
const DEAF_MOST = 1.3;
/** A new holder's workers have to find it first. */
const DEAF_NEW = seconds(3);
const STANDSTILL = seconds(1.2);
/** How long a machine counts as heard through a sibling after a report that came that way. */
const THROUGH = seconds(20);
const MOST_THROUGH = 50_000;
/** One worker so often is sent to its deaf holder after all, to see whether it is heard again. */
const TRY_AGAIN = seconds(4);
const SUMMARY = seconds(30);
/** How long a change has to stand until it is said. */
const STANDS = seconds(1.2);

export interface Member {
  readonly label: string;
  readonly address: string;
}

export interface MeshSetup {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  readonly wires: Wires;
  /** By the own way. */
  readonly http: HttpClient;
  readonly label: string;
  readonly incarnation: string;
  readonly peers: readonly Member[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly heartbeatInterval: Micros;
  /** 0 normal to 3 full. */
  readonly level: () => number;
  /** Machines held here that are up, and since when; null: none are held. */
  readonly leadership: () => { readonly machines: number; readonly since: Micros } | null;
  /** A worker's report that came to the sibling `through`. */
  readonly handleHeartbeat: (request: Request, through: string) => Promise<Response>;
}

interface Asked {
  readonly settle: (outcome: HttpOutcome) => void;
  readonly peer: string;
}

/**
 * Connections to all siblings, what each of them reaches, and calls through them where the own way fails. Nothing rests
 * on it for a rule: a carried call is the caller's own, sent by another way; its rights count from before it left here,
 * and one that comes late or twice is one of the protocol's delayed messages.
 */
export class Mesh {
  private readonly peers = new Map<string, Peer>();
  private readonly asked = new Map<number, Asked>();
  private nextId = 1;
  private sequence = 0;
  private carrying = 0;
  private readonly ways: OwnWays;
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

  constructor(private readonly setup: MeshSetup) {
    const { clock, log, random, wires, label, incarnation, peers } = setup;
    this.ways = new OwnWays(setup);
    const hello: Frame = { type: "hello", label, incarnation };
    for (const sibling of peers) {
      const peer = new Peer(
        sibling.label,
        sibling.address,
        label < sibling.label,
        hello,
        { clock, log, wires, random },
        {
          frame: (frame) => this.take(sibling.label, frame),
          ended: () => this.lose(sibling.label),
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
    this.setup.wires.listen((wire) => this.greet(wire));
    for (const peer of this.peers.values()) peer.start();
    this.beat();
  }

  /** The client for all calls of this controller: by the own way, or through a sibling where that one fails. */
  get client(): HttpClient {
    return { call: (address, request, timeout) => this.call(address, request, timeout) };
  }

  /** A worker's report has come by the own way, for machines held here. */
  workerHeard(address: string): void {
    this.heardAt = this.setup.clock.now();
    this.through.delete(address);
  }

  /** A report came through a sibling: the machine is spoken to that way as well. */
  workerHeardThrough(address: string, peer: string): void {
    this.through.delete(address);
    this.through.set(address, { peer, at: this.setup.clock.now() });
    if (this.through.size <= MOST_THROUGH) return;
    const [oldest] = this.through.keys();
    if (oldest !== undefined) this.through.delete(oldest);
  }

  /**
   * The holder's answer to a report that came here, where the holder hears no worker itself; null: send the worker there.
   */
  async relayHeartbeat(leader: string, request: Request): Promise<Response | null> {
    const { clock } = this.setup;
    const peer = this.peers.get(leader);
    if (peer === undefined || !peer.usable(clock.now()) || peer.beat?.deaf !== true) return null;
    if (clock.now() - this.triedAt > TRY_AGAIN) {
      this.triedAt = clock.now();
      return null;
    }
    this.counts.reports += 1;
    const outcome = await this.ask(peer, "", request, ms(2_500));
    if (outcome.kind !== "answer" || outcome.status !== 200) return null;
    return { status: 200, body: outcome.body };
  }

  /** How things stand, for people. */
  table(): {
    readonly state: Standing;
    readonly cloud: Standing;
    readonly workers: "heard" | "cut off from me" | "none held here";
    readonly siblings: Readonly<Record<string, "reached" | "not reached">>;
  } {
    const peers = this.views();
    const ways = this.waysNow();
    const now = this.setup.clock.now();
    const standing = (target: "state" | "cloud"): Standing => this.ways.standing(target, ways, peers);
    return {
      state: standing("state"),
      cloud: standing("cloud"),
      workers: this.setup.leadership() === null ? "none held here" : this.deaf ? "cut off from me" : "heard",
      siblings: Object.fromEntries(
        [...this.peers.values()].map((peer) => [peer.label, peer.usable(now) ? "reached" : "not reached"]),
      ),
    };
  }

  // Calls -------------------------------------------------------------------------------------------------

  private async call(address: string, request: Request, timeout: Micros): Promise<HttpOutcome> {
    const { clock, http } = this.setup;
    const target = this.ways.targetOf(address);
    const through = target === "worker" ? this.throughOf(address) : null;
    const ways = this.waysNow();
    const label = ownWayStands(target, ways, through) ? null : routeFor(target, ways, this.views(), through);
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
    this.ways.learn(target, outcome);
    return outcome;
  }

  private throughOf(address: string): string | null {
    const known = this.through.get(address);
    return known !== undefined && this.setup.clock.now() - known.at < THROUGH ? known.peer : null;
  }

  private waysNow(): Ways {
    return { failing: this.ways.failing, deaf: this.deaf };
  }

  private views(): PeerView[] {
    const now = this.setup.clock.now();
    return [...this.peers.values()].map((peer) => ({
      label: peer.label,
      usable: peer.usable(now),
      beat: peer.beat,
      phi: peer.detector.phi(now),
    }));
  }

  // Frames ------------------------------------------------------------------------------------------------

  private ask(peer: Peer, address: string, request: Request, timeout: Micros): Promise<HttpOutcome> {
    const { clock } = this.setup;
    const id = this.nextId;
    this.nextId = id >= NEVER ? 1 : id + 1;
    return new Promise((resolve) => {
      const settle = (outcome: HttpOutcome): void => {
        if (!this.asked.delete(id)) return;
        timer.cancel();
        resolve(outcome);
      };
      // From here on it may have been executed, or may yet be.
      const timer: Timer = clock.after((timeout + RELAY_ALLOWANCE) as Micros, () => settle({ kind: "lost" }));
      this.asked.set(id, { settle, peer: peer.label });
      const sent = peer.send({ type: "ask", id, address, timeoutMs: Math.ceil(timeout / 1_000), request });
      if (!sent) settle({ kind: "unsent" });
    });
  }

  private take(from: string, frame: Exclude<Frame, { readonly type: "hello" | "beat" }>): void {
    if (frame.type === "told") {
      const asked = this.asked.get(frame.id);
      if (asked?.peer === from) asked.settle(frame.outcome);
      return;
    }
    const { id, address, request, timeoutMs } = frame;
    const answer = (given: HttpOutcome): void => {
      const tooLong = given.kind === "answer" && Buffer.byteLength(given.body) > MAX_FRAME / 2;
      this.peers.get(from)?.send({ type: "told", id, outcome: tooLong ? { kind: "lost" } : given });
    };
    if (this.carrying >= (CARRIED[this.setup.level()] ?? 0)) {
      this.counts.shed += 1;
      answer({ kind: "unsent" });
      return;
    }
    this.carrying += 1;
    this.counts.carried += 1;
    void this.carry(from, address, request, ms(timeoutMs))
      .then(answer, (error: unknown) => {
        this.setup.log.error("carrying failed", { error: String(error) });
        answer({ kind: "lost" });
      })
      .finally(() => {
        this.carrying -= 1;
      });
  }

  /** By the own way and no other; nothing is answered that did not come from where it was sent. */
  private async carry(from: string, address: string, request: Request, timeout: Micros): Promise<HttpOutcome> {
    if (address !== "") {
      const outcome = await this.setup.http.call(address, request, timeout);
      this.ways.learn(this.ways.targetOf(address), outcome);
      return outcome;
    }
    const { status, body, retryAfterS } = await this.setup.handleHeartbeat(request, from);
    return { kind: "answer", status, body, retryAfterS: retryAfterS ?? null };
  }

  private lose(peer: string): void {
    for (const { peer: asked, settle } of [...this.asked.values()]) if (asked === peer) settle({ kind: "lost" });
  }

  /** Somebody has connected: the first frame says who. */
  private greet(wire: Wire): void {
    const { clock, log, label } = this.setup;
    const reader = new FrameReader();
    const timer = clock.after(GREETING, () => wire.close());
    wire.onEnd = () => timer.cancel();
    wire.onData = (data) => {
      try {
        const [first, ...rest] = reader.push(data);
        if (first === undefined) return;
        timer.cancel();
        const peer = first.type === "hello" ? this.peers.get(first.label) : undefined;
        // Only those that are to dial, so that two connections do not take turns in ending each other.
        if (peer === undefined || peer.label > label) throw new BadFrame("not a sibling that dials here");
        peer.adopt(wire, rest);
      } catch (error) {
        if (!(error instanceof BadFrame)) throw error;
        log.error("mesh frame", { peer: "?", error: error.message });
        timer.cancel();
        wire.close();
      }
    };
  }

  // Beats -------------------------------------------------------------------------------------------------

  private beat(): void {
    const { clock, level } = this.setup;
    const now = clock.now();
    // After a standstill everybody seems silent until what has arrived meanwhile is read.
    if (now - this.lastBeat > STANDSTILL) {
      this.awakeSince = now;
      this.setup.log.info("I stood still", { forMs: Math.round((now - this.lastBeat - BEAT_PERIOD) / 1_000) });
    }
    this.lastBeat = now;
    const deaf = this.isDeaf(now);
    if (deaf !== this.deaf) this.workerPathChangedAt = now;
    this.deaf = deaf;
    this.ways.probe();
    this.sequence += 1;
    const beat: Beat = {
      sequence: this.sequence,
      level: level(),
      stateAgeMs: this.ways.ageMs("state"),
      cloudAgeMs: this.ways.ageMs("cloud"),
      deaf: this.deaf,
    };
    for (const peer of this.peers.values()) {
      peer.watch(now);
      peer.send({ type: "beat", beat });
    }
    this.sayChanges(now);
    clock.after(BEAT_PERIOD, () => this.beat());
  }

  private isDeaf(now: Micros): boolean {
    const holding = this.setup.leadership();
    if (holding === null || holding.machines < 3) return false;
    const { heartbeatInterval } = this.setup;
    const quiet = Math.min(
      heartbeatInterval * DEAF_MOST,
      Math.max(DEAF_LEAST, (MISSED_REPORTS * heartbeatInterval) / holding.machines),
    );
    const since = Math.max(this.heardAt, this.awakeSince);
    return now - since > quiet && now - holding.since > DEAF_NEW;
  }

  private sayChanges(now: Micros): void {
    const { log } = this.setup;
    const table = this.table();
    const text = JSON.stringify(table);
    if (text !== this.seen) this.seenSince = now;
    this.seen = text;
    // What siblings say lags by a beat or two: an outage looks like a cut of one's own for that long.
    if (text !== this.told && now - this.seenSince >= STANDS) {
      log.info("links", table);
      this.told = text;
    }
    if (now - this.summedAt < SUMMARY) return;
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
