import type { HttpOutcome, Request } from "../transport/http.js";

/**
 * What controllers say to each other: frames of a 32-bit length (of what follows), a version, a type and the type's
 * fields, all numbers unsigned and big-endian, texts as UTF-8 behind a 32-bit length. Unknown types are skipped, and so
 * are bytes behind the fields that a version knows: a newer controller may add some.
 */
export const VERSION = 1;
/** A watch's answer may be large; anything beyond this is not carried. */
export const MAX_FRAME = 4 * 1024 * 1024;
const HEAD = 6;

const TYPES = { hello: 1, beat: 2, ask: 3, told: 4 } as const;

/** Where an address leads that a sibling is asked to call; `self`: the sibling's own users' and workers' interface. */
export type Frame =
  /** The first on each connection: whose it is. */
  | { readonly type: "hello"; readonly label: string; readonly incarnation: string }
  | { readonly type: "beat"; readonly beat: Beat }
  /** Call this address and tell what came of it; an empty address: handle it yourself. */
  | {
      readonly type: "ask";
      readonly id: number;
      readonly address: string;
      readonly timeoutMs: number;
      readonly request: Request;
    }
  | { readonly type: "told"; readonly id: number; readonly outcome: HttpOutcome };

/** What a controller says of itself, several times a second. Ages in milliseconds; `NEVER`: not at all. */
export interface Beat {
  readonly sequence: number;
  /** 0 normal to 3 full. */
  readonly level: number;
  /** Since it last had an answer of the state service, and of the cloud, by its own path. */
  readonly stateAgeMs: number;
  readonly cloudAgeMs: number;
  /** It holds machines, and none of them is heard by its own path. */
  readonly deaf: boolean;
}

export const NEVER = 0xffff_ffff;

export class BadFrame extends Error {}

class Writer {
  private readonly parts: Buffer[] = [];

  u8(value: number): this {
    this.parts.push(Buffer.from([value]));
    return this;
  }

  u32(value: number): this {
    const part = Buffer.alloc(4);
    part.writeUInt32BE(Math.max(0, Math.min(NEVER, Math.floor(value))));
    this.parts.push(part);
    return this;
  }

  text(value: string): this {
    const part = Buffer.from(value, "utf8");
    this.u32(part.length);
    this.parts.push(part);
    return this;
  }

  done(type: number): Buffer {
    const body = Buffer.concat(this.parts);
    const head = Buffer.alloc(HEAD);
    head.writeUInt32BE(body.length + 2);
    head.writeUInt8(VERSION, 4);
    head.writeUInt8(type, 5);
    return Buffer.concat([head, body]);
  }
}

class Reader {
  private at = 0;

  constructor(private readonly body: Buffer) {}

  private take(bytes: number): number {
    const from = this.at;
    if (from + bytes > this.body.length) throw new BadFrame("frame ends within a field");
    this.at += bytes;
    return from;
  }

  u8(): number {
    return this.body.readUInt8(this.take(1));
  }

  u32(): number {
    return this.body.readUInt32BE(this.take(4));
  }

  text(): string {
    const length = this.u32();
    const from = this.take(length);
    return this.body.toString("utf8", from, from + length);
  }
}

const OUTCOMES = ["unsent", "lost", "answer"] as const;

export const encode = (frame: Frame): Buffer => {
  const out = new Writer();
  switch (frame.type) {
    case "hello":
      out.text(frame.label).text(frame.incarnation);
      break;
    case "beat": {
      const { sequence, level, stateAgeMs, cloudAgeMs, deaf } = frame.beat;
      out
        .u32(sequence)
        .u8(level)
        .u32(stateAgeMs)
        .u32(cloudAgeMs)
        .u8(deaf ? 1 : 0);
      break;
    }
    case "ask": {
      const { method, target, body } = frame.request;
      out.u32(frame.id).u32(frame.timeoutMs).text(frame.address).text(method).text(target).text(body);
      break;
    }
    case "told": {
      const { outcome } = frame;
      out.u32(frame.id).u8(OUTCOMES.indexOf(outcome.kind));
      if (outcome.kind === "answer")
        out
          .u32(outcome.status)
          .u32(outcome.retryAfterS ?? NEVER)
          .text(outcome.body);
    }
  }
  return out.done(TYPES[frame.type]);
};

/** Null: a type or version that is not known here. Throws BadFrame. */
const decode = (version: number, type: number, body: Buffer): Frame | null => {
  // Later versions only add; what changes otherwise takes a new type.
  if (version < 1) throw new BadFrame(`version ${version}`);
  const read = new Reader(body);
  switch (type) {
    case TYPES.hello:
      return { type: "hello", label: read.text(), incarnation: read.text() };
    case TYPES.beat: {
      const sequence = read.u32();
      const level = read.u8();
      const stateAgeMs = read.u32();
      const cloudAgeMs = read.u32();
      return { type: "beat", beat: { sequence, level, stateAgeMs, cloudAgeMs, deaf: read.u8() === 1 } };
    }
    case TYPES.ask: {
      const id = read.u32();
      const timeoutMs = read.u32();
      const address = read.text();
      return {
        type: "ask",
        id,
        timeoutMs,
        address,
        request: { method: read.text(), target: read.text(), body: read.text() },
      };
    }
    case TYPES.told: {
      const id = read.u32();
      const kind = OUTCOMES[read.u8()];
      if (kind === undefined) throw new BadFrame("unknown outcome");
      if (kind !== "answer") return { type: "told", id, outcome: { kind } };
      const status = read.u32();
      const retry = read.u32();
      const outcome: HttpOutcome = { kind, status, retryAfterS: retry === NEVER ? null : retry, body: read.text() };
      return { type: "told", id, outcome };
    }
    default:
      return null;
  }
};

/** Takes bytes as they come and gives whole frames. Throws BadFrame, after which the connection is to be closed. */
export class FrameReader {
  private parts: Buffer[] = [];
  private held = 0;

  push(data: Buffer): Frame[] {
    this.parts.push(data);
    this.held += data.length;
    const frames: Frame[] = [];
    for (;;) {
      if (this.held < 4) return frames;
      const first = this.joined(4);
      const length = first.readUInt32BE(0);
      if (length < 2 || length > MAX_FRAME) throw new BadFrame(`length ${length}`);
      if (this.held < length + 4) return frames;
      const all = this.joined(length + 4);
      const frame = decode(all.readUInt8(4), all.readUInt8(5), all.subarray(HEAD, length + 4));
      const rest = all.subarray(length + 4);
      this.parts = rest.length > 0 ? [rest] : [];
      this.held = rest.length;
      if (frame !== null) frames.push(frame);
    }
  }

  /** Joins only what is needed: a large frame comes in hundreds of parts. */
  private joined(bytes: number): Buffer {
    const [first] = this.parts;
    if (first !== undefined && first.length >= bytes) return first;
    const all = Buffer.concat(this.parts);
    this.parts = [all];
    return all;
  }
}
