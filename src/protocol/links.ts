/** Response to operators with the state of a controller's links. */
import type { JsonObject } from "./json.js";
import { RecordCodec } from "./record-codec.js";

/** State of one controller's links, as texts for operators. */
export interface LinkTable {
  /** Link to the key-value store. */
  readonly state: string;
  readonly cloud: string;
  readonly workers: string;
  /** Links to the other controllers, by label. */
  readonly siblings: Readonly<Record<string, string>>;
}

/** Machines of the shard that a controller leads: the number that are up, and the names of those with link faults. */
export interface MachineLinks {
  readonly up: number;
  /** Machines whose heartbeats arrive, but which do not respond to commands or status queries. */
  readonly unresponsive: readonly string[];
  /** Machines whose heartbeats do not arrive. */
  readonly silent: readonly string[];
  /** Zones in which no machine responds. */
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

/** Encodes the response to `/links`. `table` is null without a mesh, `machines` where the controller leads no shard. */
export const encodeLinks = (table: LinkTable | null, machines: MachineLinks | null): JsonObject => ({
  ...(table === null ? {} : linkTableCodec.encode(table)),
  machines: machines === null ? null : machineLinksCodec.encode(machines),
});
