/** Frames queued for one connection, in order of priority. */
import type { FrameConnection } from "./frame-connection.js";
import type { MeshFrame } from "./frames.js";

/** Maximum total size of queued frames; a frame that would exceed it is rejected. */
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;

/** Heartbeats precede relayed calls, and responses precede requests. */
const FRAME_PRIORITIES = ["hello", "heartbeat", "relay-response", "relay-request"] as const;

/** Priority queue of encoded frames, bounded in bytes. */
export class SendQueue {
  private readonly queues = new Map<MeshFrame["type"], Buffer[]>(FRAME_PRIORITIES.map((type) => [type, []]));
  private queuedBytes = 0;
  /** The connection's write buffer is full: nothing is written until it has drained. */
  private awaitsDrain = false;

  /** False: the queue is full, and no part of the frame will be sent. */
  push(type: MeshFrame["type"], data: Buffer): boolean {
    if (this.queuedBytes + data.length > MAX_QUEUED_BYTES) return false;
    this.queues.get(type)?.push(data);
    this.queuedBytes += data.length;
    return true;
  }

  /** Writes queued frames until the connection's write buffer is full. */
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

  /** To be called when the connection has drained: `flushTo` writes again. */
  resume(): void {
    this.awaitsDrain = false;
  }

  /** Discards all queued frames, for a new connection. */
  clear(): void {
    for (const queue of this.queues.values()) queue.length = 0;
    this.queuedBytes = 0;
    this.awaitsDrain = false;
  }
}
