/**
 * Form of frames on the wire: a 32-bit length (of what follows), a version, a type and the type's fields. All numbers are
 * unsigned and big-endian, texts are UTF-8 behind a 32-bit length. Unknown types are skipped, and so are bytes behind the
 * fields that a version knows: a newer controller may add some.
 */
import type { HttpOutcome } from "../transport/http.js";
import { MalformedFrameError } from "./errors.js";
import {
  type HeartbeatFrame,
  type HelloFrame,
  MAX_UINT32,
  type MeshFrame,
  type RelayRequestFrame,
  type RelayResponseFrame,
} from "./frames.js";

/** Version that is written; later versions only add fields, and any other change takes a new type of frame. */
const FRAME_VERSION = 1;
const MIN_FRAME_VERSION = 1;
/** Largest frame that is read, in bytes without its length; a watch's answer may be large. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const LENGTH_BYTES = 4;
/** Length, version and type. */
const FRAME_HEADER_BYTES = 6;
/** The part of the header that the length covers. */
const MIN_FRAME_LENGTH = FRAME_HEADER_BYTES - LENGTH_BYTES;

const FRAME_TYPE_CODES = { hello: 1, heartbeat: 2, "relay-request": 3, "relay-response": 4 } as const;
/** Kinds of outcome by their code on the wire. */
const OUTCOME_KINDS = ["unsent", "lost", "answer"] as const;
/** Written where an answer has no `Retry-After`. */
const NO_RETRY_AFTER = MAX_UINT32;

/** Collects the fields of one frame. */
class FrameWriter {
  private readonly parts: Buffer[] = [];

  uint8(value: number): this {
    this.parts.push(Buffer.from([value]));
    return this;
  }

  /** Rounded down, and kept between 0 and the largest 32-bit number. */
  uint32(value: number): this {
    const part = Buffer.alloc(4);
    part.writeUInt32BE(Math.max(0, Math.min(MAX_UINT32, Math.floor(value))));
    this.parts.push(part);
    return this;
  }

  text(value: string): this {
    const part = Buffer.from(value, "utf8");
    this.uint32(part.length);
    this.parts.push(part);
    return this;
  }

  /** The whole frame, header included. */
  finish(typeCode: number): Buffer {
    const body = Buffer.concat(this.parts);
    const header = Buffer.alloc(FRAME_HEADER_BYTES);
    header.writeUInt32BE(body.length + MIN_FRAME_LENGTH);
    header.writeUInt8(FRAME_VERSION, LENGTH_BYTES);
    header.writeUInt8(typeCode, LENGTH_BYTES + 1);
    return Buffer.concat([header, body]);
  }
}

/** Reads the fields of one frame in order. Throws MalformedFrameError where the frame is too short. */
class FieldReader {
  private offset = 0;

  constructor(private readonly body: Buffer) {}

  uint8(): number {
    return this.body.readUInt8(this.advance(1));
  }

  uint32(): number {
    return this.body.readUInt32BE(this.advance(4));
  }

  text(): string {
    const length = this.uint32();
    const from = this.advance(length);
    return this.body.toString("utf8", from, from + length);
  }

  private advance(bytes: number): number {
    const from = this.offset;
    if (from + bytes > this.body.length) throw new MalformedFrameError("frame ends within a field");
    this.offset += bytes;
    return from;
  }
}

const writeHeartbeat = (writer: FrameWriter, { heartbeat }: HeartbeatFrame): void => {
  writer.uint32(heartbeat.sequence);
  writer.uint8(heartbeat.loadLevel);
  writer.uint32(heartbeat.storeAgeMs);
  writer.uint32(heartbeat.cloudAgeMs);
  writer.uint8(heartbeat.cutOffFromWorkers ? 1 : 0);
};

const readHeartbeat = (reader: FieldReader): HeartbeatFrame => {
  const sequence = reader.uint32();
  const loadLevel = reader.uint8();
  const storeAgeMs = reader.uint32();
  const cloudAgeMs = reader.uint32();
  const cutOffFromWorkers = reader.uint8() === 1;
  return { type: "heartbeat", heartbeat: { sequence, loadLevel, storeAgeMs, cloudAgeMs, cutOffFromWorkers } };
};

const readHello = (reader: FieldReader): HelloFrame => {
  const label = reader.text();
  const incarnation = reader.text();
  return { type: "hello", label, incarnation };
};

const writeRelayRequest = (writer: FrameWriter, { id, timeoutMs, address, request }: RelayRequestFrame): void => {
  writer.uint32(id).uint32(timeoutMs).text(address);
  writer.text(request.method).text(request.target).text(request.body);
};

const readRelayRequest = (reader: FieldReader): RelayRequestFrame => {
  const id = reader.uint32();
  const timeoutMs = reader.uint32();
  const address = reader.text();
  const request = { method: reader.text(), target: reader.text(), body: reader.text() };
  return { type: "relay-request", id, timeoutMs, address, request };
};

const writeRelayResponse = (writer: FrameWriter, { id, outcome }: RelayResponseFrame): void => {
  writer.uint32(id).uint8(OUTCOME_KINDS.indexOf(outcome.kind));
  if (outcome.kind !== "answer") return;
  writer.uint32(outcome.status);
  writer.uint32(outcome.retryAfterS ?? NO_RETRY_AFTER);
  writer.text(outcome.body);
};

const readRelayResponse = (reader: FieldReader): RelayResponseFrame => {
  const id = reader.uint32();
  const kind = OUTCOME_KINDS[reader.uint8()];
  if (kind === undefined) throw new MalformedFrameError("unknown outcome");
  if (kind !== "answer") return { type: "relay-response", id, outcome: { kind } };
  const status = reader.uint32();
  const retryAfterS = reader.uint32();
  const outcome: HttpOutcome = {
    kind,
    status,
    retryAfterS: retryAfterS === NO_RETRY_AFTER ? null : retryAfterS,
    body: reader.text(),
  };
  return { type: "relay-response", id, outcome };
};

/** Bytes of a frame, header included. */
export const encodeFrame = (frame: MeshFrame): Buffer => {
  const writer = new FrameWriter();
  switch (frame.type) {
    case "hello":
      writer.text(frame.label).text(frame.incarnation);
      break;
    case "heartbeat":
      writeHeartbeat(writer, frame);
      break;
    case "relay-request":
      writeRelayRequest(writer, frame);
      break;
    case "relay-response":
      writeRelayResponse(writer, frame);
  }
  return writer.finish(FRAME_TYPE_CODES[frame.type]);
};

/** Null: a type that is not known here. Throws MalformedFrameError. */
const decodeFrame = (version: number, typeCode: number, body: Buffer): MeshFrame | null => {
  if (version < MIN_FRAME_VERSION) throw new MalformedFrameError(`version ${version}`);
  const reader = new FieldReader(body);
  switch (typeCode) {
    case FRAME_TYPE_CODES.hello:
      return readHello(reader);
    case FRAME_TYPE_CODES.heartbeat:
      return readHeartbeat(reader);
    case FRAME_TYPE_CODES["relay-request"]:
      return readRelayRequest(reader);
    case FRAME_TYPE_CODES["relay-response"]:
      return readRelayResponse(reader);
    default:
      return null;
  }
};

/** Takes the bytes of one connection as they come and gives whole frames. */
export class FrameDecoder {
  private pendingParts: Buffer[] = [];
  private pendingBytes = 0;

  /** The frames that `data` completes, in order. Throws MalformedFrameError, after which the connection is to be closed. */
  decode(data: Buffer): MeshFrame[] {
    this.pendingParts.push(data);
    this.pendingBytes += data.length;
    const frames: MeshFrame[] = [];
    while (this.pendingBytes >= LENGTH_BYTES) {
      const length = this.concatFirst(LENGTH_BYTES).readUInt32BE(0);
      if (length < MIN_FRAME_LENGTH || length > MAX_FRAME_BYTES) throw new MalformedFrameError(`length ${length}`);
      if (this.pendingBytes < length + LENGTH_BYTES) break;
      const frame = this.takeFrame(length + LENGTH_BYTES);
      if (frame !== null) frames.push(frame);
    }
    return frames;
  }

  private takeFrame(size: number): MeshFrame | null {
    const bytes = this.concatFirst(size);
    const version = bytes.readUInt8(LENGTH_BYTES);
    const typeCode = bytes.readUInt8(LENGTH_BYTES + 1);
    const frame = decodeFrame(version, typeCode, bytes.subarray(FRAME_HEADER_BYTES, size));
    const rest = bytes.subarray(size);
    this.pendingParts = rest.length > 0 ? [rest] : [];
    this.pendingBytes = rest.length;
    return frame;
  }

  /** A buffer of at least so many bytes. Joins only where that is needed: a large frame comes in hundreds of parts. */
  private concatFirst(bytes: number): Buffer {
    const [first] = this.pendingParts;
    if (first !== undefined && first.length >= bytes) return first;
    const joined = Buffer.concat(this.pendingParts);
    this.pendingParts = [joined];
    return joined;
  }
}
