/**
 * Connections between controllers: link status of each, and calls relayed through a peer when the direct link fails.
 * @module
 */

export { MalformedFrameError } from "./errors.js";
export { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "./frame-codec.js";
export type { FrameConnection, FrameTransport } from "./frame-connection.js";
export { AGE_NEVER, type MeshFrame, type PeerHeartbeat } from "./frames.js";
export { LinkStatus } from "./link-status.js";
export { LogEvent } from "./log-events.js";
export { Mesh, type MeshOptions } from "./mesh.js";
export { createMeshFactory } from "./mesh-factory.js";
export { PhiAccrualDetector } from "./phi-accrual-detector.js";
export {
  type CallTarget,
  linkStatusOf,
  type PeerSnapshot,
  selectRelayPeer,
  type UpstreamLinks,
} from "./relay-route.js";
export { TcpFrameTransport } from "./tcp-frame-transport.js";
