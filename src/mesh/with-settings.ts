import type { Micros } from "../transport/clock.js";
import { Mesh, type MeshSetup } from "./mesh.js";

/** What of a controller's settings the mesh needs. */
interface MeshSettings {
  readonly label: string;
  readonly peers: readonly { readonly label: string; readonly address: string }[];
  readonly storeAddress: string;
  readonly cloudAddress: string;
  readonly workers: { readonly heartbeatInterval: Micros };
}

type MeshEnvironment = Pick<MeshSetup, "clock" | "log" | "http" | "random" | "wires" | "incarnation"> & {
  readonly settings: MeshSettings;
};

type MeshHost = Pick<MeshSetup, "level" | "leadership" | "handleHeartbeat">;

/** The mesh of one controller, made once the rest of it stands. */
export const meshWith =
  ({ settings, ...outside }: MeshEnvironment) =>
  (dependencies: MeshHost): Mesh => {
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
