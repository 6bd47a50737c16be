/** Messages between controllers, in memory; `frame-codec.ts` defines their encoding on the wire. */
import type { HttpOutcome, HttpRequest } from "../transport/http.js";

/** State of a controller, sent to every peer once per `HEARTBEAT_PERIOD`. Ages are in milliseconds. */
export interface PeerHeartbeat {
  /** Incremented with each heartbeat; duplicate and older heartbeats are ignored. */
  readonly sequence: number;
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: number;
  /** Since the key-value store's last response over the direct link; `AGE_NEVER`: none yet, or the link is failing. */
  readonly storeAgeMs: number;
  /** Since the cloud's last response over the direct link; `AGE_NEVER`: none yet, or the link is failing. */
  readonly cloudAgeMs: number;
  /** The sender leads a shard with machines and receives no worker heartbeats over direct links. */
  readonly cutOffFromWorkers: boolean;
}

/** First frame on each connection, in both directions: identifies the sender. */
export interface HelloFrame {
  readonly type: "hello";
  readonly label: string;
  readonly incarnation: string;
}

/** Heartbeat of a controller. */
export interface HeartbeatFrame {
  readonly type: "heartbeat";
  readonly heartbeat: PeerHeartbeat;
}

/** Requests that a peer call an address and return the outcome. */
export interface RelayRequestFrame {
  readonly type: "relay-request";
  /** Chosen by the sender and copied into the response. */
  readonly id: number;
  /** `host:port`; empty: a worker's heartbeat, which the peer itself handles. */
  readonly address: string;
  readonly timeoutMs: number;
  readonly request: HttpRequest;
}

/** Outcome of a relayed call. */
export interface RelayResponseFrame {
  readonly type: "relay-response";
  readonly id: number;
  readonly outcome: HttpOutcome;
}

/** Frames of relayed calls. */
export type RelayFrame = RelayRequestFrame | RelayResponseFrame;

/** Any message between two controllers. */
export type MeshFrame = HelloFrame | HeartbeatFrame | RelayFrame;

/** Largest unsigned 32-bit integer, the upper bound of all numbers in frames. */
export const MAX_UINT32 = 0xffff_ffff;

/** Age value for a service that has not responded yet or whose link is failing. */
export const AGE_NEVER = MAX_UINT32;
