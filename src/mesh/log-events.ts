/** Events that the mesh writes to the log: the one list of their texts, each "subject verb". */

/** Texts of the mesh's log events. */
export const LogEvent = {
  /** The process had no turn for more than a second. */
  EventLoopStalled: "event loop stalled",
  /** Bytes from a peer, or from whoever connected to `mesh_addr`, are no frame that is expected there. */
  FrameMalformed: "frame malformed",
  /** What this controller reaches has changed, and the change has lasted. */
  LinksChanged: "links changed",
  /** `mesh_addr` cannot be listened on; the service goes on without incoming connections of peers. */
  ListenFailed: "listen failed",
  /** Counts of relayed calls since the last such line. */
  MeshSummarized: "mesh summarized",
  PeerConnected: "peer connected",
  PeerDisconnected: "peer disconnected",
  /** No heartbeat of a peer for so long that its connection is given up. */
  PeerSilent: "peer silent",
  /** A call for a peer ended in an error of this process. */
  RelayFailed: "relay failed",
} as const;
