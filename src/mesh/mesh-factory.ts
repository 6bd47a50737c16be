/** Makes a controller's mesh from its settings. */
import type { Micros } from "../transport/clock.js";
import { Mesh, type MeshOptions } from "./mesh.js";
import type { MeshMember } from "./peer-registry.js";

/** The part of a controller's settings that the mesh needs. */
export interface MeshSettings {
  readonly label: string;
  readonly peers: readonly MeshMember[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly workers: { readonly heartbeatInterval: Micros };
}

/** What is there before the controller. */
export interface MeshEnvironment
  extends Pick<MeshOptions, "clock" | "log" | "http" | "random" | "transport" | "incarnation"> {
  readonly settings: MeshSettings;
}

/** What the mesh asks of the controller. */
export type MeshCallbacks = Pick<MeshOptions, "loadLevel" | "leadership" | "handleHeartbeat">;

/** The mesh of one controller, made when the controller is. */
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
