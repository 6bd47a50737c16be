/** Connections between controllers: what each of them reaches, and calls through a sibling where the own way fails. */

export type { FrameConnection, FrameTransport } from "./frame-connection.js";
export {
  AGE_NEVER,
  encodeFrame,
  FrameDecoder,
  MAX_FRAME_BYTES,
  MalformedFrameError,
  type MeshFrame,
  type PeerHeartbeat,
} from "./frames.js";
export { Mesh, type MeshOptions } from "./mesh.js";
export { createMeshFactory } from "./mesh-factory.js";
export { PhiAccrualDetector } from "./phi-accrual-detector.js";
export {
  type CallTarget,
  type LinkStatus,
  linkStatusOf,
  type PeerSnapshot,
  selectRelayPeer,
  type UpstreamLinks,
} from "./relay-route.js";
export { TcpFrameTransport } from "./tcp-frame-transport.js";
