/** The one connection to a peer, kept open. */
import { type Clock, seconds, type Timer } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { MalformedFrameError } from "./errors.js";
import { encodeFrame, FrameDecoder } from "./frame-codec.js";
import type { FrameConnection, FrameTransport } from "./frame-connection.js";
import type { HelloFrame, MeshFrame, RelayFrame } from "./frames.js";
import { LogEvent } from "./log-events.js";
import { PeerLiveness } from "./peer-liveness.js";
import { ReconnectTimer } from "./reconnect-timer.js";
import { SendQueue } from "./send-queue.js";

/** A connection without a heartbeat for so long from its beginning is given up. */
const FIRST_HEARTBEAT_TIMEOUT = seconds(4);

/** Receives what comes from a peer. */
export interface PeerConnectionListener {
  onFrame(frame: RelayFrame): void;
  /** The connection has ended: what was requested over it may have been executed. */
  onClosed(): void;
}

/** What the connection to one peer needs. */
export interface PeerConnectionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly transport: FrameTransport;
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number;
  /** Label of the peer. */
  readonly label: string;
  /** `host:port` of the peer. */
  readonly address: string;
  /** Opens the connection, rather than wait for the peer to do so. */
  readonly initiates: boolean;
  /** Sent first on each connection. */
  readonly hello: HelloFrame;
  readonly listener: PeerConnectionListener;
}

/** Of two controllers, one opens the connection, and opens it again whenever it ends. */
export class PeerConnection {
  private readonly queue = new SendQueue();
  private readonly reconnectTimer: ReconnectTimer;
  private firstHeartbeatTimer: Timer | null = null;
  private connection: FrameConnection | null = null;
  /** The other side has said that it is this peer. */
  private identified = false;
  private stopped = false;
  readonly liveness = new PeerLiveness();

  constructor(private readonly options: PeerConnectionOptions) {
    this.reconnectTimer = new ReconnectTimer(options.clock, options.random);
  }

  start(): void {
    if (this.options.initiates) this.connect();
  }

  /** Closes the connection and opens or accepts no more. */
  stop(): void {
    this.stopped = true;
    this.detach();
  }

  /** Takes over a connection on which the peer has said who it is, with the frames that came behind; closes an older one. */
  accept(connection: FrameConnection, frames: readonly MeshFrame[]): void {
    if (this.stopped) {
      connection.close();
      return;
    }
    this.detach();
    this.attach(connection);
    this.identified = true;
    for (const frame of frames) this.receive(frame);
  }

  /** Connected, with heartbeats recent enough to rely on the peer. */
  isUsable(now: number): boolean {
    return this.connection !== null && this.identified && this.liveness.isAlive(now);
  }

  /** False: nothing of the frame will be sent. */
  send(frame: MeshFrame): boolean {
    if (this.connection === null || !this.identified) return false;
    if (!this.queue.push(frame.type, encodeFrame(frame))) return false;
    this.queue.flushTo(this.connection);
    return true;
  }

  /** To be called once a heartbeat period. */
  closeIfSilent(now: number): void {
    if (this.connection === null || !this.identified || !this.liveness.isSilent(now)) return;
    this.options.log.info(LogEvent.PeerSilent, { peer: this.options.label });
    this.reconnect();
  }

  private connect(): void {
    const connection = this.options.transport.connect(this.options.address);
    this.attach(connection);
    connection.write(encodeFrame(this.options.hello));
  }

  private attach(connection: FrameConnection): void {
    const decoder = new FrameDecoder();
    this.connection = connection;
    this.identified = false;
    this.liveness.reset();
    connection.onData = (data) => {
      if (this.connection !== connection) return;
      try {
        for (const frame of decoder.decode(data)) this.receive(frame);
      } catch (error) {
        if (!(error instanceof MalformedFrameError)) throw error;
        this.closeMalformed(error.message);
      }
    };
    connection.onDrain = () => {
      this.queue.resume();
      if (this.connection !== null) this.queue.flushTo(this.connection);
    };
    connection.onClosed = () => {
      if (this.connection === connection) this.reconnect();
    };
    this.firstHeartbeatTimer = this.options.clock.after(FIRST_HEARTBEAT_TIMEOUT, () => {
      if (this.liveness.heartbeat === null) this.reconnect();
    });
    if (!this.options.initiates) connection.write(encodeFrame(this.options.hello));
  }

  private closeMalformed(error: string): void {
    this.options.log.error(LogEvent.FrameMalformed, { peer: this.options.label, error });
    this.reconnect();
  }

  private receive(frame: MeshFrame): void {
    const { clock, log, label, listener } = this.options;
    if (frame.type === "hello") {
      if (frame.label !== label) {
        this.closeMalformed(`hello of ${frame.label}`);
        return;
      }
      this.identified = true;
      this.reconnectTimer.reset();
    } else if (!this.identified) {
      return;
    } else if (frame.type === "heartbeat") {
      if (this.liveness.heartbeat === null) log.info(LogEvent.PeerConnected, { peer: label });
      this.liveness.record(frame.heartbeat, clock.now());
    } else {
      listener.onFrame(frame);
    }
  }

  private detach(): void {
    const { connection } = this;
    this.connection = null;
    this.reconnectTimer.cancel();
    this.firstHeartbeatTimer?.cancel();
    this.firstHeartbeatTimer = null;
    this.queue.clear();
    if (connection === null) return;
    if (this.liveness.heartbeat !== null)
      this.options.log.info(LogEvent.PeerDisconnected, { peer: this.options.label });
    this.liveness.reset();
    connection.close();
    this.options.listener.onClosed();
  }

  private reconnect(): void {
    this.detach();
    if (this.options.initiates) this.reconnectTimer.schedule(() => this.connect());
  }
}
