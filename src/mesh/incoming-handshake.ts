/** Finds out whose a connection is that somebody has opened to this controller. */
import { type Clock, seconds } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { MalformedFrameError } from "./errors.js";
import { FrameDecoder } from "./frame-codec.js";
import type { FrameConnection } from "./frame-connection.js";
import { LogEvent } from "./log-events.js";
import type { PeerConnection } from "./peer-connection.js";

/** A connection whose first frame has not come by then is closed. */
const HELLO_TIMEOUT = seconds(3);

/** What a handshake needs. */
export interface IncomingHandshakeOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** The peer of this label; undefined: none that is to open connections to this controller. */
  readonly peerOf: (label: string) => PeerConnection | undefined;
}

/**
 * Hands the connection to the peer that its first frame, a hello, names. Closes it if that is none that may connect, or
 * if no hello comes within `HELLO_TIMEOUT`.
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
      if (peer === undefined) throw new MalformedFrameError("no hello of a peer that is to connect here");
      peer.accept(connection, rest);
    } catch (error) {
      if (!(error instanceof MalformedFrameError)) throw error;
      log.error(LogEvent.FrameMalformed, { peer: "?", error: error.message });
      timer.cancel();
      connection.close();
    }
  };
};
