/** Creates a controller's mesh from its settings. */
import type { Micros } from "../transport/clock.js";
import { Mesh, type MeshOptions } from "./mesh.js";
import type { MeshMember } from "./peer-registry.js";

/** Controller settings used by the mesh. */
export interface MeshSettings {
  readonly label: string;
  readonly peers: readonly MeshMember[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly workers: { readonly heartbeatInterval: Micros };
}

/** Dependencies of the mesh that exist before the controller is constructed. */
export interface MeshEnvironment
  extends Pick<MeshOptions, "clock" | "log" | "http" | "random" | "transport" | "incarnation"> {
  readonly settings: MeshSettings;
}

/** Callbacks that the controller provides to the mesh. */
export type MeshCallbacks = Pick<MeshOptions, "loadLevel" | "leadership" | "handleHeartbeat">;

/** Returns a factory with which the controller constructs its mesh, once it can provide the callbacks. */
export const createMeshFactory =
  ({ settings, ...environment }: MeshEnvironment) =>
  (callbacks: MeshCallbacks): Mesh => {
    const { label, peers, storeAddress, cloudAddress, workers } = settings;
    return new Mesh({
      ...environment,
      ...callbacks,
      label,
      peers,
      storeAddress,
      cloudAddress,
      heartbeatInterval: workers.heartbeatInterval,
    });
  };
