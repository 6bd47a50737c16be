/** What the mesh needs of a network: ordered byte connections between controllers, over TCP or simulated. */

/** A connection that carries bytes in order until it ends. */
export interface FrameConnection {
  /** False: not all of it has left yet, and nothing more is to be written before `onDrain`. */
  write(data: Buffer): boolean;
  /** Ends it on this side; `onClosed` is not called. */
  close(): void;
  /** Called with bytes from the other side. */
  onData: (data: Buffer) => void;
  /** Called when more may be written. */
  onDrain: () => void;
  /** Called when the other side has closed it, it broke, or it never came about. */
  onClosed: () => void;
}

/** Opens and accepts connections between controllers. */
export interface FrameTransport {
  /** Never throws; a connection that does not come about is closed. */
  connect(address: string): FrameConnection;
  /** Accepts connections from here on. Never throws. */
  listen(onConnection: (connection: FrameConnection) => void): void;
}
