/** Identifies the peer behind an incoming connection. */
import { type Clock, seconds } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { MalformedFrameError } from "./errors.js";
import { FrameDecoder } from "./frame-codec.js";
import type { FrameConnection } from "./frame-connection.js";
import { LogEvent } from "./log-events.js";
import type { PeerConnection } from "./peer-connection.js";

/** An incoming connection without a first frame is closed after this time. */
const HELLO_TIMEOUT = seconds(3);

/** Dependencies of a handshake. */
export interface IncomingHandshakeOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** The peer with this label; undefined: no such peer, or it must not open connections to this controller. */
  readonly peerOf: (label: string) => PeerConnection | undefined;
}

/**
 * Passes the connection to the peer named by its first frame, which must be a hello. Closes the connection if that peer
 * may not connect, or if no frame is received within `HELLO_TIMEOUT`.
 */
export const awaitHello = (connection: FrameConnection, { clock, log, peerOf }: IncomingHandshakeOptions): void => {
  const decoder = new FrameDecoder();
  const timer = clock.after(HELLO_TIMEOUT, () => connection.close());
  connection.onClosed = () => timer.cancel();
  connection.onData = (data) => {
    try {
      const [first, ...rest] = decoder.decode(data);
      if (first === undefined) return;
      timer.cancel();
      const peer = first.type === "hello" ? peerOf(first.label) : undefined;
      if (peer === undefined)
        throw new MalformedFrameError("first frame is not a hello from a peer that may connect to this controller");
      peer.accept(connection, rest);
    } catch (error) {
      if (!(error instanceof MalformedFrameError)) throw error;
      log.error(LogEvent.FrameMalformed, { peer: "?", error: error.message });
      timer.cancel();
      connection.close();
    }
  };
};
