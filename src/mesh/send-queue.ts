/** Frames that wait to be written to one connection, in order of priority. */
import type { FrameConnection } from "./frame-connection.js";
import type { MeshFrame } from "./frames.js";

/** Bytes that may wait; a frame beyond them is refused. */
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;

/** Heartbeats first, responses before requests. */
const FRAME_PRIORITIES = ["hello", "heartbeat", "relay-response", "relay-request"] as const;

/** Queue of encoded frames with a bound on its bytes. */
export class SendQueue {
  private readonly queues = new Map<MeshFrame["type"], Buffer[]>(FRAME_PRIORITIES.map((type) => [type, []]));
  private queuedBytes = 0;
  /** The connection takes no more until it has drained. */
  private awaitsDrain = false;

  /** False: the queue is full, and nothing of the frame will be sent. */
  push(type: MeshFrame["type"], data: Buffer): boolean {
    if (this.queuedBytes + data.length > MAX_QUEUED_BYTES) return false;
    this.queues.get(type)?.push(data);
    this.queuedBytes += data.length;
    return true;
  }

  /** Writes what the connection takes. */
  flushTo(connection: FrameConnection): void {
    for (const type of FRAME_PRIORITIES) {
      const queue = this.queues.get(type) ?? [];
      for (let data = queue[0]; data !== undefined && !this.awaitsDrain; data = queue[0]) {
        queue.shift();
        this.queuedBytes -= data.length;
        this.awaitsDrain = !connection.write(data);
      }
    }
  }

  /** The connection has drained: `flushTo` writes again. */
  resume(): void {
    this.awaitsDrain = false;
  }

  /** Drops all that waits, for a new connection. */
  clear(): void {
    for (const queue of this.queues.values()) queue.length = 0;
    this.queuedBytes = 0;
    this.awaitsDrain = false;
  }
}
