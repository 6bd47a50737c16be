/** A connection that carries bytes in order until it ends. */
export interface FrameConnection {
  /** False: not all of it has left yet, and nothing more is to be written before `onDrain`. */
  write(data: Buffer): boolean;
  /** Ends it on this side; `onEnd` is not called. */
  close(): void;
  onData: (data: Buffer) => void;
  onDrain: () => void;
  /** Closed by the other side, broken, or never came about. */
  onClosed: () => void;
}

/** How connections between controllers come about: over `net`, or simulated. */
export interface FrameTransport {
  /** Never throws; a connection that does not come about ends. */
  connect(address: string): FrameConnection;
  listen(onConnection: (wire: FrameConnection) => void): void;
}
