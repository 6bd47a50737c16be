import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { Detector } from "./detector.js";
import { BadFrame, type Beat, encode, type Frame, FrameReader } from "./frames.js";
import type { Wire, Wires } from "./wire.js";

export const BEAT_PERIOD = ms(400);
const REDIAL_FIRST = ms(200);
const REDIAL_MOST = seconds(5);
/** So unlikely a silence is no silence: the connection is given up, with whatever is still under way in it. */
const GIVE_UP_PHI = 40;
/** A connection over which nothing has been said for so long from its beginning is no better than none. */
const FIRST_BEAT = seconds(4);
const MOST_QUEUED_BYTES = 8 * 1024 * 1024;

/** In which order frames leave where the connection takes no more: beats first, answers before questions. */
const LANES = ["hello", "beat", "told", "ask"] as const;

export interface PeerEvents {
  frame(frame: Exclude<Frame, { readonly type: "hello" | "beat" }>): void;
  /** The connection has ended: what was asked over it may have been executed. */
  ended(): void;
}

/** The one connection to a sibling, kept up. Of the two, the one whose label comes first dials. */
export class Peer {
  private wire: Wire | null = null;
  private greeted = false;
  private blocked = false;
  private failures = 0;
  private redial: Timer | null = null;
  private readonly queues = new Map<Frame["type"], Buffer[]>(LANES.map((lane) => [lane, []]));
  private queued = 0;
  readonly detector = new Detector(BEAT_PERIOD);
  beat: Beat | null = null;

  constructor(
    readonly label: string,
    private readonly address: string,
    private readonly dials: boolean,
    private readonly hello: Frame,
    private readonly around: {
      readonly clock: Clock;
      readonly log: Log;
      readonly wires: Wires;
      readonly random: () => number;
    },
    private readonly events: PeerEvents,
  ) {}

  start(): void {
    if (this.dials) this.dial();
  }

  /** A connection over which the sibling has said who it is; an older one is given up for it. */
  adopt(wire: Wire, rest: readonly Frame[]): void {
    this.drop();
    this.use(wire);
    this.greeted = true;
    for (const frame of rest) this.take(frame);
  }

  /** Connected, and heard of lately enough to be counted on. */
  usable(now: number): boolean {
    return this.wire !== null && this.greeted && this.beat !== null && this.detector.phi(now) < 3;
  }

  /** False: it will not leave; nothing of it has. */
  send(frame: Frame): boolean {
    if (this.wire === null || !this.greeted) return false;
    const data = encode(frame);
    if (this.queued + data.length > MOST_QUEUED_BYTES) return false;
    this.queues.get(frame.type)?.push(data);
    this.queued += data.length;
    this.flush();
    return true;
  }

  /** To be called with every beat. */
  watch(now: number): void {
    if (this.wire !== null && this.greeted && this.detector.phi(now) > GIVE_UP_PHI && this.beat !== null) {
      this.around.log.info("mesh silent", { peer: this.label });
      this.end();
    }
  }

  private dial(): void {
    this.redial = null;
    const wire = this.around.wires.connect(this.address);
    this.use(wire);
    wire.write(encode(this.hello));
  }

  private use(wire: Wire): void {
    const reader = new FrameReader();
    this.wire = wire;
    this.greeted = false;
    this.blocked = false;
    this.beat = null;
    this.detector.reset();
    wire.onData = (data) => {
      if (this.wire !== wire) return;
      try {
        for (const frame of reader.push(data)) this.take(frame);
      } catch (error) {
        if (!(error instanceof BadFrame)) throw error;
        this.around.log.error("mesh frame", { peer: this.label, error: error.message });
        this.end();
      }
    };
    wire.onDrain = () => {
      this.blocked = false;
      this.flush();
    };
    wire.onEnd = () => {
      if (this.wire === wire) this.end();
    };
    this.around.clock.after(FIRST_BEAT, () => {
      if (this.wire === wire && this.beat === null) this.end();
    });
    // The side that has been dialled answers with its own name.
    if (!this.dials) wire.write(encode(this.hello));
  }

  private take(frame: Frame): void {
    if (frame.type === "hello") {
      if (frame.label !== this.label) {
        this.around.log.error("mesh frame", { peer: this.label, error: `says it is ${frame.label}` });
        this.end();
        return;
      }
      this.greeted = true;
      this.failures = 0;
      return;
    }
    if (!this.greeted) return;
    if (frame.type !== "beat") {
      this.events.frame(frame);
      return;
    }
    // Doubled or from before: the newest one counts.
    if (this.beat !== null && frame.beat.sequence <= this.beat.sequence) return;
    if (this.beat === null) this.around.log.info("mesh up", { peer: this.label });
    this.beat = frame.beat;
    this.detector.heard(this.around.clock.now());
  }

  private flush(): void {
    for (const lane of LANES) {
      const queue = this.queues.get(lane) ?? [];
      for (let data = queue[0]; data !== undefined && !this.blocked && this.wire !== null; data = queue[0]) {
        queue.shift();
        this.queued -= data.length;
        this.blocked = !this.wire.write(data);
      }
    }
  }

  private drop(): void {
    const { wire } = this;
    this.wire = null;
    this.redial?.cancel();
    this.redial = null;
    for (const queue of this.queues.values()) queue.length = 0;
    this.queued = 0;
    if (wire === null) return;
    if (this.beat !== null) this.around.log.info("mesh down", { peer: this.label });
    this.beat = null;
    wire.close();
    this.events.ended();
  }

  private end(): void {
    this.drop();
    if (!this.dials || this.redial !== null) return;
    this.failures += 1;
    const pause = Math.min(REDIAL_MOST, REDIAL_FIRST * 2 ** Math.min(10, this.failures - 1));
    // With jitter: after a healed cut all would dial in the same moment.
    const delay = (pause * (0.5 + this.around.random() / 2)) as Micros;
    this.redial = this.around.clock.after(delay, () => this.dial());
  }
}
