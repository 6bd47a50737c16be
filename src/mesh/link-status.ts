/** Status texts of a controller's links, as shown to operators in `/links` and in the log (docs/peer-links.md). */

/** Status of the link to the key-value store or to the cloud. */
export const LinkStatus = {
  Reachable: "reached",
  /** The link is failing and no usable peer reaches the service: an outage, or no peer to compare with. */
  UnreachableForAll: "away for everybody",
  /** The link is failing, but a peer reaches the service and relays calls. */
  UnreachableFromHere: "away for me only",
  /** The service responds with 503 to this controller, but a peer reaches it. */
  Refused: "refused to me",
  /** No response and no failure since the process started. */
  Unknown: "not asked yet",
} as const;
/** One of the texts of `LinkStatus`. */
export type LinkStatus = (typeof LinkStatus)[keyof typeof LinkStatus];

/** Status of the links to the workers of the shards led by this controller. */
export const WorkerLinkStatus = {
  Reachable: "heard",
  /** No worker heartbeat is received over a direct link; heartbeats and commands are relayed by peers. */
  CutOff: "cut off from me",
  NotLeader: "none held here",
} as const;
/** One of the texts of `WorkerLinkStatus`. */
export type WorkerLinkStatus = (typeof WorkerLinkStatus)[keyof typeof WorkerLinkStatus];

/** Status of the connection to a peer. */
export const PeerStatus = { Connected: "reached", Disconnected: "not reached" } as const;
/** One of the texts of `PeerStatus`. */
export type PeerStatus = (typeof PeerStatus)[keyof typeof PeerStatus];

/** All links of one controller. Field names and their order are those of the `/links` response. */
export interface MeshLinkTable {
  readonly state: LinkStatus;
  readonly cloud: LinkStatus;
  readonly workers: WorkerLinkStatus;
  /** Keyed by peer label. */
  readonly siblings: Readonly<Record<string, PeerStatus>>;
}
