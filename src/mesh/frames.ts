/** Messages between controllers, as they are held in memory; `frame-codec.ts` has their form on the wire. */
import type { HttpOutcome, HttpRequest } from "../transport/http.js";

/** State of a controller, sent to every peer several times a second. Ages are in milliseconds. */
export interface PeerHeartbeat {
  /** Grows by one a heartbeat; repeated and older ones are ignored. */
  readonly sequence: number;
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: number;
  /** Since the key-value store last answered over the direct link; `AGE_NEVER`: it does not answer. */
  readonly storeAgeMs: number;
  /** Since the cloud last answered over the direct link; `AGE_NEVER`: it does not answer. */
  readonly cloudAgeMs: number;
  /** Leads a shard with machines, and receives no worker heartbeat over a direct link. */
  readonly cutOffFromWorkers: boolean;
}

/** First frame on each connection, in both directions: whose connection it is. */
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

/** Asks a peer to call an address and to return the outcome. */
export interface RelayRequestFrame {
  readonly type: "relay-request";
  /** Chosen by the sender, and repeated in the response. */
  readonly id: number;
  /** `host:port`; empty: the request is for the peer itself, which handles it as one of its own. */
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

/** Frames about relayed calls. */
export type RelayFrame = RelayRequestFrame | RelayResponseFrame;

/** Any message between two controllers. */
export type MeshFrame = HelloFrame | HeartbeatFrame | RelayFrame;

/** Largest 32-bit number, and so the bound of all numbers in frames. */
export const MAX_UINT32 = 0xffff_ffff;

/** Age of something that has never happened, or no longer does. */
export const AGE_NEVER = MAX_UINT32;
