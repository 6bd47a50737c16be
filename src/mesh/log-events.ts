/** Log events of the mesh: the only list of their texts, each of the form "subject verb". */

/** Texts of the mesh's log events. */
export const LogEvent = {
  /** The event loop did not run the mesh's periodic loop for more than a second. */
  EventLoopStalled: "event loop stalled",
  /** Bytes from a peer, or from an unidentified client of `mesh_addr`, are not a valid or expected frame. */
  FrameMalformed: "frame malformed",
  /** The link table has changed, and the change has lasted. */
  LinksChanged: "links changed",
  /** Listening on `mesh_addr` failed; the controller runs without incoming peer connections. */
  ListenFailed: "listen failed",
  /** Counts of relayed calls since the previous summary. */
  MeshSummarized: "mesh summarized",
  PeerConnected: "peer connected",
  PeerDisconnected: "peer disconnected",
  /** No heartbeat from a peer for so long that its connection is closed. */
  PeerSilent: "peer silent",
  /** A call relayed for a peer failed with an internal error. */
  RelayFailed: "relay failed",
} as const;
