import type { Micros } from "../transport/clock.js";
import { Mesh, type MeshSetup } from "./mesh.js";

/** What of a controller's settings the mesh needs. */
interface MeshSettings {
  readonly label: string;
  readonly siblings: readonly { readonly label: string; readonly address: string }[];
  readonly stateAddress: string;
  readonly cloudAddress: string;
  readonly workers: { readonly report: Micros };
}

type Outside = Pick<MeshSetup, "clock" | "log" | "http" | "random" | "wires" | "incarnation"> & {
  readonly settings: MeshSettings;
};

type Around = Pick<MeshSetup, "level" | "holding" | "report">;

/** The mesh of one controller, made once the rest of it stands. */
export const meshWith =
  ({ settings, ...outside }: Outside) =>
  (around: Around): Mesh => {
    const { label, siblings, stateAddress, cloudAddress, workers } = settings;
    return new Mesh({
      ...outside,
      ...around,
      label,
      siblings,
      stateAddress,
      cloudAddress,
      reportPeriod: workers.report,
    });
  };
