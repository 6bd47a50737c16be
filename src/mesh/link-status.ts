/** Status of a controller's links in the words that operators read in `/links` and in the log (docs/peer-links.md). */

/** Status of the link to the key-value store or to the cloud. */
export const LinkStatus = {
  Reachable: "reached",
  /** No peer has an answer either: an outage, or no peer to tell. */
  UnreachableForAll: "away for everybody",
  /** A peer reaches it, and relays calls. */
  UnreachableFromHere: "away for me only",
  /** Answers 503 to this controller, and a peer reaches it. */
  Refused: "refused to me",
  /** Not called since the start. */
  Unknown: "not asked yet",
} as const;
/** One of the texts of `LinkStatus`. */
export type LinkStatus = (typeof LinkStatus)[keyof typeof LinkStatus];

/** Status of the links to the workers whose shard is led here. */
export const WorkerLinkStatus = {
  Reachable: "heard",
  /** No worker's heartbeat comes over a direct link; they come through peers, and commands go that way. */
  CutOff: "cut off from me",
  NotLeader: "none held here",
} as const;
/** One of the texts of `WorkerLinkStatus`. */
export type WorkerLinkStatus = (typeof WorkerLinkStatus)[keyof typeof WorkerLinkStatus];

/** Status of the connection to a peer. */
export const PeerStatus = { Connected: "reached", Disconnected: "not reached" } as const;
/** One of the texts of `PeerStatus`. */
export type PeerStatus = (typeof PeerStatus)[keyof typeof PeerStatus];

/** All links of one controller. Names and order of the fields are those of the answer to `/links`. */
export interface MeshLinkTable {
  readonly state: LinkStatus;
  readonly cloud: LinkStatus;
  readonly workers: WorkerLinkStatus;
  /** By label of the peer. */
  readonly siblings: Readonly<Record<string, PeerStatus>>;
}
