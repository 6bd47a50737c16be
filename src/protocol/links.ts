/** Answer to operators about the links of a controller. */
import type { JsonObject } from "./json.js";
import { RecordCodec } from "./record-codec.js";

/** Links of one controller as it sees them, in texts for operators. */
export interface LinkTable {
  /** Link to the key-value store. */
  readonly state: string;
  readonly cloud: string;
  readonly workers: string;
  /** By label of the other controllers. */
  readonly siblings: Readonly<Record<string, string>>;
}

/** Machines of a shard's leader: how many are up, and the names of those in trouble. */
export interface MachineLinks {
  readonly up: number;
  /** Their heartbeats arrive, but they do not answer. */
  readonly unresponsive: readonly string[];
  /** Their heartbeats do not arrive. */
  readonly silent: readonly string[];
  /** Zones of which no machine answers. */
  readonly unreachableZones: readonly string[];
  /** Whether the shard's lease is valid. */
  readonly leaseValid: boolean;
  /** Job for which capacity is reserved; null: none. */
  readonly reservedForJob: string | null;
}

const linkTableCodec = new RecordCodec<LinkTable>({
  state: "state",
  cloud: "cloud",
  workers: "workers",
  siblings: "siblings",
});

const machineLinksCodec = new RecordCodec<MachineLinks>({
  up: "up",
  unresponsive: "heardNotReached",
  silent: "silent",
  unreachableZones: "zonesCut",
  leaseValid: "mayAct",
  reservedForJob: "roomKeptFor",
});

/** Answer to `/links`. `table` is null without a mesh, `machines` where the controller leads no shard. */
export const encodeLinks = (table: LinkTable | null, machines: MachineLinks | null): JsonObject => ({
  ...(table === null ? {} : linkTableCodec.encode(table)),
  machines: machines === null ? null : machineLinksCodec.encode(machines),
});
