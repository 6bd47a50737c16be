/**
 * Binary encoding of frames: a 32-bit length (of everything after it), a version, a type and the fields of that type.
 * All numbers are unsigned and big-endian; strings are UTF-8 with a 32-bit length prefix. Unknown frame types are
 * skipped, and so are bytes after the known fields, since a newer controller may add fields.
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

/** Version of encoded frames. Later versions only add fields; any other change requires a new frame type. */
const FRAME_VERSION = 1;
const MIN_FRAME_VERSION = 1;
/** Largest frame accepted, in bytes after the length field; the response to a watch may be large. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
const LENGTH_BYTES = 4;
/** Length, version and type fields. */
const FRAME_HEADER_BYTES = 6;
/** The part of the header that the length field counts: version and type. */
const MIN_FRAME_LENGTH = FRAME_HEADER_BYTES - LENGTH_BYTES;

const FRAME_TYPE_CODES = { hello: 1, heartbeat: 2, "relay-request": 3, "relay-response": 4 } as const;
/** Outcome kinds, indexed by their code on the wire. */
const OUTCOME_KINDS = ["unsent", "lost", "answer"] as const;
/** Encoded when the response has no `Retry-After`. */
const NO_RETRY_AFTER = MAX_UINT32;

/** Encodes the fields of one frame. */
class FrameWriter {
  private readonly parts: Buffer[] = [];

  uint8(value: number): this {
    this.parts.push(Buffer.from([value]));
    return this;
  }

  /** Rounds down and clamps to the range 0 to `MAX_UINT32`. */
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

  /** The complete frame, header included. */
  finish(typeCode: number): Buffer {
    const body = Buffer.concat(this.parts);
    const header = Buffer.alloc(FRAME_HEADER_BYTES);
    header.writeUInt32BE(body.length + MIN_FRAME_LENGTH);
    header.writeUInt8(FRAME_VERSION, LENGTH_BYTES);
    header.writeUInt8(typeCode, LENGTH_BYTES + 1);
    return Buffer.concat([header, body]);
  }
}

/** Decodes the fields of one frame in order. Throws MalformedFrameError if the frame ends within a field. */
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

/** Encodes a frame, header included. */
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

/** Null: unknown frame type. Throws MalformedFrameError. */
const decodeFrame = (version: number, typeCode: number, body: Buffer): MeshFrame | null => {
  if (version < MIN_FRAME_VERSION) throw new MalformedFrameError(`unsupported frame version ${version}`);
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

/** Splits the byte stream of one connection into frames. */
export class FrameDecoder {
  private pendingParts: Buffer[] = [];
  private pendingBytes = 0;

  /** Frames completed by `data`, in order. Throws MalformedFrameError, after which the connection must be closed. */
  decode(data: Buffer): MeshFrame[] {
    this.pendingParts.push(data);
    this.pendingBytes += data.length;
    const frames: MeshFrame[] = [];
    while (this.pendingBytes >= LENGTH_BYTES) {
      const length = this.concatFirst(LENGTH_BYTES).readUInt32BE(0);
      if (length < MIN_FRAME_LENGTH || length > MAX_FRAME_BYTES)
        throw new MalformedFrameError(`invalid frame length: ${length} bytes`);
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

  /** A buffer of at least the first `bytes` bytes. Concatenates only if needed: a large frame has hundreds of parts. */
  private concatFirst(bytes: number): Buffer {
    const [first] = this.pendingParts;
    if (first !== undefined && first.length >= bytes) return first;
    const joined = Buffer.concat(this.pendingParts);
    this.pendingParts = [joined];
    return joined;
  }
}
