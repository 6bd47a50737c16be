/** The interfaces between a controller and its mesh. */

import type { LinkTable } from "../../protocol/links.js";
import type { Micros } from "../../transport/clock.js";
import type { HttpClient, HttpRequest, HttpResponse } from "../../transport/http.js";

/** The mesh as the controller uses it. */
export interface MeshPort {
  /** Sends requests over the direct link, or through a peer if that link fails. */
  readonly client: HttpClient;
  /** When this controller's path to the workers was last found cut or restored; null: never. */
  readonly workerPathChangedAt: Micros | null;
  /** Starts connecting to the peers. */
  start(): void;
  /** Records that a heartbeat of a worker led here was received directly. */
  recordDirectHeartbeat(address: string): void;
  /** Records that a heartbeat of a worker led here was received through the peer. */
  recordRelayedHeartbeat(address: string, peer: string): void;
  /** Relays a worker's heartbeat and returns the leader's response; null: redirect the worker to the leader. */
  forwardHeartbeat(leader: string, request: HttpRequest): Promise<HttpResponse | null>;
  /** Status of all links, for operators. */
  linkTable(): LinkTable;
}

/** Calls of the mesh to its controller. */
export interface MeshCallbacks {
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: () => number;
  /** Machines led here that are up, and when the latest shard was acquired; null: no shard is led here. */
  readonly leadership: () => { readonly machines: number; readonly since: Micros } | null;
  /** Handles a worker's heartbeat relayed by the peer `relayPeer`. */
  readonly handleHeartbeat: (request: HttpRequest, relayPeer: string) => Promise<HttpResponse>;
}

/** Creates the mesh of one controller. */
export type MeshFactory = (callbacks: MeshCallbacks) => MeshPort;
