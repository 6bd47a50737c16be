import type { HttpOutcome, HttpRequest } from "../transport/http.js";

/**
 * What controllers say to each other: frames of a 32-bit length (of what follows), a version, a type and the type's
 * fields, all numbers unsigned and big-endian, texts as UTF-8 behind a 32-bit length. Unknown types are skipped, and so
 * are bytes behind the fields that a version knows: a newer controller may add some.
 */
export const FRAME_VERSION = 1;
/** A watch's answer may be large; anything beyond this is not carried. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const FRAME_HEADER_BYTES = 6;

const FRAME_TYPE_CODES = { hello: 1, heartbeat: 2, "relay-request": 3, "relay-response": 4 } as const;

/** Where an address leads that a sibling is asked to call; `self`: the sibling's own users' and workers' interface. */
export type MeshFrame =
  /** The first on each connection: whose it is. */
  | { readonly type: "hello"; readonly label: string; readonly incarnation: string }
  | { readonly type: "heartbeat"; readonly heartbeat: PeerHeartbeat }
  /** Call this address and tell what came of it; an empty address: handle it yourself. */
  | {
      readonly type: "relay-request";
      readonly id: number;
      readonly address: string;
      readonly timeoutMs: number;
      readonly request: HttpRequest;
    }
  | { readonly type: "relay-response"; readonly id: number; readonly outcome: HttpOutcome };

/** What a controller says of itself, several times a second. Ages in milliseconds; `NEVER`: not at all. */
export interface PeerHeartbeat {
  readonly sequence: number;
  /** 0 normal to 3 full. */
  readonly loadLevel: number;
  /** Since it last had an answer of the state service, and of the cloud, by its own path. */
  readonly storeAgeMs: number;
  readonly cloudAgeMs: number;
  /** It holds machines, and none of them is heard by its own path. */
  readonly cutOffFromWorkers: boolean;
}

export const AGE_NEVER = 0xffff_ffff;

export class MalformedFrameError extends Error {}

class FrameWriter {
  private readonly parts: Buffer[] = [];

  u8(value: number): this {
    this.parts.push(Buffer.from([value]));
    return this;
  }

  u32(value: number): this {
    const part = Buffer.alloc(4);
    part.writeUInt32BE(Math.max(0, Math.min(AGE_NEVER, Math.floor(value))));
    this.parts.push(part);
    return this;
  }

  text(value: string): this {
    const part = Buffer.from(value, "utf8");
    this.u32(part.length);
    this.parts.push(part);
    return this;
  }

  finish(type: number): Buffer {
    const body = Buffer.concat(this.parts);
    const head = Buffer.alloc(FRAME_HEADER_BYTES);
    head.writeUInt32BE(body.length + 2);
    head.writeUInt8(FRAME_VERSION, 4);
    head.writeUInt8(type, 5);
    return Buffer.concat([head, body]);
  }
}

class FieldReader {
  private offset = 0;

  constructor(private readonly body: Buffer) {}

  private advance(bytes: number): number {
    const from = this.offset;
    if (from + bytes > this.body.length) throw new MalformedFrameError("frame ends within a field");
    this.offset += bytes;
    return from;
  }

  u8(): number {
    return this.body.readUInt8(this.advance(1));
  }

  u32(): number {
    return this.body.readUInt32BE(this.advance(4));
  }

  text(): string {
    const length = this.u32();
    const from = this.advance(length);
    return this.body.toString("utf8", from, from + length);
  }
}

const OUTCOME_KINDS = ["unsent", "lost", "answer"] as const;

export const encodeFrame = (frame: MeshFrame): Buffer => {
  const out = new FrameWriter();
  switch (frame.type) {
    case "hello":
      out.text(frame.label).text(frame.incarnation);
      break;
    case "heartbeat": {
      const {
        sequence,
        loadLevel: level,
        storeAgeMs: stateAgeMs,
        cloudAgeMs,
        cutOffFromWorkers: deaf,
      } = frame.heartbeat;
      out
        .u32(sequence)
        .u8(level)
        .u32(stateAgeMs)
        .u32(cloudAgeMs)
        .u8(deaf ? 1 : 0);
      break;
    }
    case "relay-request": {
      const { method, target, body } = frame.request;
      out.u32(frame.id).u32(frame.timeoutMs).text(frame.address).text(method).text(target).text(body);
      break;
    }
    case "relay-response": {
      const { outcome } = frame;
      out.u32(frame.id).u8(OUTCOME_KINDS.indexOf(outcome.kind));
      if (outcome.kind === "answer")
        out
          .u32(outcome.status)
          .u32(outcome.retryAfterS ?? AGE_NEVER)
          .text(outcome.body);
    }
  }
  return out.finish(FRAME_TYPE_CODES[frame.type]);
};

/** Null: a type or version that is not known here. Throws BadFrame. */
const decodeFrame = (version: number, type: number, body: Buffer): MeshFrame | null => {
  // Later versions only add; what changes otherwise takes a new type.
  if (version < 1) throw new MalformedFrameError(`version ${version}`);
  const read = new FieldReader(body);
  switch (type) {
    case FRAME_TYPE_CODES.hello:
      return { type: "hello", label: read.text(), incarnation: read.text() };
    case FRAME_TYPE_CODES.heartbeat: {
      const sequence = read.u32();
      const level = read.u8();
      const stateAgeMs = read.u32();
      const cloudAgeMs = read.u32();
      return {
        type: "heartbeat",
        heartbeat: {
          sequence,
          loadLevel: level,
          storeAgeMs: stateAgeMs,
          cloudAgeMs,
          cutOffFromWorkers: read.u8() === 1,
        },
      };
    }
    case FRAME_TYPE_CODES["relay-request"]: {
      const id = read.u32();
      const timeoutMs = read.u32();
      const address = read.text();
      return {
        type: "relay-request",
        id,
        timeoutMs,
        address,
        request: { method: read.text(), target: read.text(), body: read.text() },
      };
    }
    case FRAME_TYPE_CODES["relay-response"]: {
      const id = read.u32();
      const kind = OUTCOME_KINDS[read.u8()];
      if (kind === undefined) throw new MalformedFrameError("unknown outcome");
      if (kind !== "answer") return { type: "relay-response", id, outcome: { kind } };
      const status = read.u32();
      const retry = read.u32();
      const outcome: HttpOutcome = { kind, status, retryAfterS: retry === AGE_NEVER ? null : retry, body: read.text() };
      return { type: "relay-response", id, outcome };
    }
    default:
      return null;
  }
};

/** Takes bytes as they come and gives whole frames. Throws BadFrame, after which the connection is to be closed. */
export class FrameDecoder {
  private pendingParts: Buffer[] = [];
  private pendingBytes = 0;

  decode(data: Buffer): MeshFrame[] {
    this.pendingParts.push(data);
    this.pendingBytes += data.length;
    const frames: MeshFrame[] = [];
    for (;;) {
      if (this.pendingBytes < 4) return frames;
      const first = this.concatFirst(4);
      const length = first.readUInt32BE(0);
      if (length < 2 || length > MAX_FRAME_BYTES) throw new MalformedFrameError(`length ${length}`);
      if (this.pendingBytes < length + 4) return frames;
      const all = this.concatFirst(length + 4);
      const frame = decodeFrame(all.readUInt8(4), all.readUInt8(5), all.subarray(FRAME_HEADER_BYTES, length + 4));
      const rest = all.subarray(length + 4);
      this.pendingParts = rest.length > 0 ? [rest] : [];
      this.pendingBytes = rest.length;
      if (frame !== null) frames.push(frame);
    }
  }

  /** Joins only what is needed: a large frame comes in hundreds of parts. */
  private concatFirst(bytes: number): Buffer {
    const [first] = this.pendingParts;
    if (first !== undefined && first.length >= bytes) return first;
    const all = Buffer.concat(this.pendingParts);
    this.pendingParts = [all];
    return all;
  }
}
