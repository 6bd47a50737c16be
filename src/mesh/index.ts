/** Connections between controllers: what each of them reaches, and calls through a sibling where the own way fails. */

export { Detector } from "./detector.js";
export { BadFrame, type Beat, encode, type Frame, FrameReader, MAX_FRAME, NEVER } from "./frames.js";
export { Mesh, type MeshSetup } from "./mesh.js";
export { NetWires } from "./net-wires.js";
export { type PeerView, routeFor, type Standing, standingOf, type Target, type Ways } from "./route.js";
export type { Wire, Wires } from "./wire.js";
export { meshWith } from "./with-settings.js";
