import { type Clock, type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { FrameConnection, FrameTransport } from "./frame-connection.js";
import { encodeFrame, FrameDecoder, MalformedFrameError, type MeshFrame, type PeerHeartbeat } from "./frames.js";
import { PhiAccrualDetector } from "./phi-accrual-detector.js";

export const HEARTBEAT_PERIOD = ms(400);
const MIN_RECONNECT_DELAY = ms(200);
const MAX_RECONNECT_DELAY = seconds(5);
/** So unlikely a silence is no silence: the connection is given up, with whatever is still under way in it. */
const SILENCE_PHI = 40;
/** A connection over which nothing has been said for so long from its beginning is no better than none. */
const FIRST_HEARTBEAT_TIMEOUT = seconds(4);
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;

/** In which order frames leave where the connection takes no more: beats first, answers before questions. */
const FRAME_PRIORITIES = ["hello", "heartbeat", "relay-response", "relay-request"] as const;

export interface PeerConnectionListener {
  onFrame(frame: Exclude<MeshFrame, { readonly type: "hello" | "heartbeat" }>): void;
  /** The connection has ended: what was asked over it may have been executed. */
  onClosed(): void;
}

/** The one connection to a sibling, kept up. Of the two, the one whose label comes first dials. */
export class PeerConnection {
  private connection: FrameConnection | null = null;
  private identified = false;
  private awaitsDrain = false;
  private failedAttempts = 0;
  private reconnectTimer: Timer | null = null;
  private readonly queues = new Map<MeshFrame["type"], Buffer[]>(FRAME_PRIORITIES.map((lane) => [lane, []]));
  private queuedBytes = 0;
  readonly detector = new PhiAccrualDetector(HEARTBEAT_PERIOD);
  heartbeat: PeerHeartbeat | null = null;

  constructor(
    readonly label: string,
    private readonly address: string,
    private readonly initiates: boolean,
    private readonly hello: MeshFrame,
    private readonly environment: {
      readonly clock: Clock;
      readonly log: Log;
      readonly transport: FrameTransport;
      readonly random: () => number;
    },
    private readonly listener: PeerConnectionListener,
  ) {}

  start(): void {
    if (this.initiates) this.connect();
  }

  /** A connection over which the sibling has said who it is; an older one is given up for it. */
  accept(connection: FrameConnection, frames: readonly MeshFrame[]): void {
    this.detach();
    this.attach(connection);
    this.identified = true;
    for (const frame of frames) this.receive(frame);
  }

  /** Connected, and heard of lately enough to be counted on. */
  isUsable(now: number): boolean {
    return this.connection !== null && this.identified && this.heartbeat !== null && this.detector.phi(now) < 3;
  }

  /** False: it will not leave; nothing of it has. */
  send(frame: MeshFrame): boolean {
    if (this.connection === null || !this.identified) return false;
    const data = encodeFrame(frame);
    if (this.queuedBytes + data.length > MAX_QUEUED_BYTES) return false;
    this.queues.get(frame.type)?.push(data);
    this.queuedBytes += data.length;
    this.flush();
    return true;
  }

  /** To be called with every beat. */
  closeIfSilent(now: number): void {
    if (
      this.connection !== null &&
      this.identified &&
      this.detector.phi(now) > SILENCE_PHI &&
      this.heartbeat !== null
    ) {
      this.environment.log.info("mesh silent", { peer: this.label });
      this.reconnect();
    }
  }

  private connect(): void {
    this.reconnectTimer = null;
    const connection = this.environment.transport.connect(this.address);
    this.attach(connection);
    connection.write(encodeFrame(this.hello));
  }

  private attach(connection: FrameConnection): void {
    const decoder = new FrameDecoder();
    this.connection = connection;
    this.identified = false;
    this.awaitsDrain = false;
    this.heartbeat = null;
    this.detector.reset();
    connection.onData = (data) => {
      if (this.connection !== connection) return;
      try {
        for (const frame of decoder.decode(data)) this.receive(frame);
      } catch (error) {
        if (!(error instanceof MalformedFrameError)) throw error;
        this.environment.log.error("mesh frame", { peer: this.label, error: error.message });
        this.reconnect();
      }
    };
    connection.onDrain = () => {
      this.awaitsDrain = false;
      this.flush();
    };
    connection.onClosed = () => {
      if (this.connection === connection) this.reconnect();
    };
    this.environment.clock.after(FIRST_HEARTBEAT_TIMEOUT, () => {
      if (this.connection === connection && this.heartbeat === null) this.reconnect();
    });
    // The side that has been dialled answers with its own name.
    if (!this.initiates) connection.write(encodeFrame(this.hello));
  }

  private receive(frame: MeshFrame): void {
    if (frame.type === "hello") {
      if (frame.label !== this.label) {
        this.environment.log.error("mesh frame", { peer: this.label, error: `says it is ${frame.label}` });
        this.reconnect();
        return;
      }
      this.identified = true;
      this.failedAttempts = 0;
      return;
    }
    if (!this.identified) return;
    if (frame.type !== "heartbeat") {
      this.listener.onFrame(frame);
      return;
    }
    // Doubled or from before: the newest one counts.
    if (this.heartbeat !== null && frame.heartbeat.sequence <= this.heartbeat.sequence) return;
    if (this.heartbeat === null) this.environment.log.info("mesh up", { peer: this.label });
    this.heartbeat = frame.heartbeat;
    this.detector.recordHeartbeat(this.environment.clock.now());
  }

  private flush(): void {
    for (const lane of FRAME_PRIORITIES) {
      const queue = this.queues.get(lane) ?? [];
      for (let data = queue[0]; data !== undefined && !this.awaitsDrain && this.connection !== null; data = queue[0]) {
        queue.shift();
        this.queuedBytes -= data.length;
        this.awaitsDrain = !this.connection.write(data);
      }
    }
  }

  private detach(): void {
    const { connection } = this;
    this.connection = null;
    this.reconnectTimer?.cancel();
    this.reconnectTimer = null;
    for (const queue of this.queues.values()) queue.length = 0;
    this.queuedBytes = 0;
    if (connection === null) return;
    if (this.heartbeat !== null) this.environment.log.info("mesh down", { peer: this.label });
    this.heartbeat = null;
    connection.close();
    this.listener.onClosed();
  }

  private reconnect(): void {
    this.detach();
    if (!this.initiates || this.reconnectTimer !== null) return;
    this.failedAttempts += 1;
    const pause = Math.min(MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY * 2 ** Math.min(10, this.failedAttempts - 1));
    // With jitter: after a healed cut all would dial in the same moment.
    const delay = (pause * (0.5 + this.environment.random() / 2)) as Micros;
    this.reconnectTimer = this.environment.clock.after(delay, () => this.connect());
  }
}
