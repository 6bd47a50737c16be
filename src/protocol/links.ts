import type { JsonObject } from "./json.js";
import { RecordCodec } from "./record-codec.js";

/** Links of one controller as it sees them, in words for operators. */
export interface LinkTable {
  readonly state: string;
  readonly cloud: string;
  readonly workers: string;
  /** By label of the other controllers. */
  readonly siblings: Readonly<Record<string, string>>;
}

/** Machines of the controller that holds them: how many are up, and the names of those in trouble. */
export interface MachineLinks {
  readonly up: number;
  readonly heardNotReached: readonly string[];
  readonly silent: readonly string[];
  readonly zonesCut: readonly string[];
  readonly mayAct: boolean;
  /** Job for which capacity is reserved; null: none. */
  readonly roomKeptFor: string | null;
}

const linkTableForm = new RecordCodec<LinkTable>({
  state: "state",
  cloud: "cloud",
  workers: "workers",
  siblings: "siblings",
});

const machineLinksForm = new RecordCodec<MachineLinks>({
  up: "up",
  heardNotReached: "heardNotReached",
  silent: "silent",
  zonesCut: "zonesCut",
  mayAct: "mayAct",
  roomKeptFor: "roomKeptFor",
});

/** Answer to `/links`. Without a mesh there is no table; `machines` is null where none are held. */
export const encodeLinks = (table: LinkTable | null, machines: MachineLinks | null): JsonObject => ({
  ...(table === null ? {} : linkTableForm.encode(table)),
  machines: machines === null ? null : machineLinksForm.encode(machines),
});
