/** Network interface of the mesh: ordered byte streams between controllers, over TCP or simulated. */

/** A connection that carries bytes in order until it is closed. */
export interface FrameConnection {
  /** False: the data is still buffered, and the caller must not write more before `onDrain`. */
  write(data: Buffer): boolean;
  /** Closes the connection from this side; `onClosed` is not called. */
  close(): void;
  /** Called with bytes received from the other side. */
  onData: (data: Buffer) => void;
  /** Called when the write buffer has drained and writing may resume. */
  onDrain: () => void;
  /** Called when the other side has closed the connection, or it has failed or could not be established. */
  onClosed: () => void;
}

/** Opens and accepts connections between controllers. */
export interface FrameTransport {
  /** Never throws; a connection that cannot be established is reported through `onClosed`. */
  connect(address: string): FrameConnection;
  /** Starts to accept connections. Never throws. */
  listen(onConnection: (connection: FrameConnection) => void): void;
}
