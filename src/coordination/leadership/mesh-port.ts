/** What a controller and its mesh know of each other. */

import type { LinkTable } from "../../protocol/links.js";
import type { Micros } from "../../transport/clock.js";
import type { HttpClient, HttpRequest, HttpResponse } from "../../transport/http.js";

/** The mesh as the controller uses it. */
export interface MeshPort {
  /** Calls over the direct link, or through a peer where that link fails. */
  readonly client: HttpClient;
  /** When the workers were last found to be cut off from here, or reachable again; null: never. */
  readonly workerPathChangedAt: Micros | null;
  start(): void;
  /** The heartbeat of a worker that is led here has come over a direct link. */
  recordDirectHeartbeat(address: string): void;
  /** The heartbeat of a worker that is led here has come through a peer. */
  recordRelayedHeartbeat(address: string, peer: string): void;
  /** The leader's response to a worker's heartbeat that came here; null: redirect the worker to the leader. */
  relayHeartbeat(leader: string, request: HttpRequest): Promise<HttpResponse | null>;
  /** Status of all links, for operators. */
  linkTable(): LinkTable;
}

/** What the mesh asks of the controller. */
export interface MeshCallbacks {
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: () => number;
  /** Machines led here that are up, and when the latest shard was acquired; null: no shard is led here. */
  readonly leadership: () => { readonly machines: number; readonly since: Micros } | null;
  /** Handles a worker's heartbeat that came through the peer `relayPeer`. */
  readonly handleHeartbeat: (request: HttpRequest, relayPeer: string) => Promise<HttpResponse>;
}

/** Makes the mesh of one controller. */
export type MeshFactory = (callbacks: MeshCallbacks) => MeshPort;
