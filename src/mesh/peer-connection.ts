/** The single connection to a peer, reopened when it ends. */
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

/** A new connection without a heartbeat is closed after this time. */
const FIRST_HEARTBEAT_TIMEOUT = seconds(4);

/**
 * Sends a frame over the connection on which a frame was received. False: that connection has ended, or the frame was
 * not sent. Another process of the peer may have opened the present one, with request ids of its own.
 */
export type ReplySender = (frame: MeshFrame) => boolean;

/** Receives the frames of a peer and the end of its connection. */
export interface PeerConnectionListener {
  onFrame(frame: RelayFrame, reply: ReplySender): void;
  /** The connection has ended; requests sent over it may have been executed. */
  onClosed(): void;
}

/** Settings and dependencies of the connection to one peer. */
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
  /** Whether this controller opens the connection rather than waiting for the peer to do so. */
  readonly initiates: boolean;
  /** First frame sent on each connection. */
  readonly hello: HelloFrame;
  readonly listener: PeerConnectionListener;
}

/** Connection to one peer. Of two controllers, one opens the connection and reopens it whenever it ends. */
export class PeerConnection {
  private readonly queue = new SendQueue();
  private readonly reconnectTimer: ReconnectTimer;
  private firstHeartbeatTimer: Timer | null = null;
  private connection: FrameConnection | null = null;
  /** The hello of this peer has been received on the connection. */
  private identified = false;
  private stopped = false;
  readonly liveness = new PeerLiveness();

  constructor(private readonly options: PeerConnectionOptions) {
    this.reconnectTimer = new ReconnectTimer(options.clock, options.random);
  }

  start(): void {
    if (this.options.initiates) this.connect();
  }

  /** Closes the connection; none is opened or accepted afterwards. */
  stop(): void {
    this.stopped = true;
    this.detach();
  }

  /** Replaces any existing connection by an incoming one on which the peer's hello, then `frames`, were received. */
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

  /** Whether the peer is connected and its heartbeats are recent enough for relaying. */
  isUsable(now: number): boolean {
    return this.connection !== null && this.identified && this.liveness.isAlive(now);
  }

  /** False: no part of the frame will be sent, since the peer is not connected or the send queue is full. */
  send(frame: MeshFrame): boolean {
    if (this.connection === null || !this.identified) return false;
    if (!this.queue.push(frame.type, encodeFrame(frame))) return false;
    this.queue.flushTo(this.connection);
    return true;
  }

  /** Must be called once per heartbeat period. */
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
        this.closeMalformed(`hello from another controller: ${frame.label}`);
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
      const { connection } = this;
      listener.onFrame(frame, (response) => this.connection === connection && this.send(response));
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
