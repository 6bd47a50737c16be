import type { Micros } from "../transport/clock.js";
import { Mesh, type MeshOptions } from "./mesh.js";

/** What of a controller's settings the mesh needs. */
interface MeshSettings {
  readonly label: string;
  readonly peers: readonly { readonly label: string; readonly address: string }[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly workers: { readonly heartbeatInterval: Micros };
}

type MeshEnvironment = Pick<MeshOptions, "clock" | "log" | "http" | "random" | "transport" | "incarnation"> & {
  readonly settings: MeshSettings;
};

type MeshCallbacks = Pick<MeshOptions, "loadLevel" | "leadership" | "handleHeartbeat">;

/** The mesh of one controller, made once the rest of it stands. */
export const createMeshFactory =
  ({ settings, ...outside }: MeshEnvironment) =>
  (dependencies: MeshCallbacks): Mesh => {
    const { label, peers, storeAddress, cloudAddress, workers } = settings;
    return new Mesh({
      ...outside,
      ...dependencies,
      label,
      peers,
      storeAddress,
      cloudAddress,
      heartbeatInterval: workers.heartbeatInterval,
    });
  };
