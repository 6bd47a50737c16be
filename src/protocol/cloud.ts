import {
  asArray,
  asObject,
  type JsonObject,
  MalformedMessageError,
  readBoolean,
  readNonNegative,
  readOptional,
  readString,
} from "./json.js";
import { availableResources, type Resources } from "./resources.js";

export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export interface ListedMachine {
  readonly name: string;
  readonly address: string | null;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  readonly ageS: number;
}

const readNames = (value: unknown, what: string): readonly string[] =>
  asArray(value, what).map((entry) => {
    if (typeof entry !== "string") throw new MalformedMessageError(`${what}: not names`);
    return entry;
  });

export const decodeMachineTypes = (body: unknown): readonly MachineType[] =>
  asArray(asObject(body, "types").flavors, "flavors").map((entry) => {
    const fields = asObject(entry, "type");
    return {
      name: readString(fields, "sku"),
      capacity: availableResources(
        readNonNegative(fields, "cpus"),
        readOptional(fields, "accelerators", readNonNegative) ?? 0,
        readNonNegative(fields, "ramGb"),
      ),
      cacheGb: readNonNegative(fields, "localGb"),
      fetchGbPerS: readNonNegative(fields, "pullGbPerS"),
      price: readNonNegative(fields, "price"),
      spotPrice: readOptional(fields, "spotPrice", readNonNegative) ?? readNonNegative(fields, "price"),
      bootS: readNonNegative(fields, "bootS"),
      zones: readNames(fields.areas, "areas"),
    };
  });

const WIRE_STATE: Readonly<Record<string, ListedMachine["state"]>> = {
  starting: "booting",
  running: "running",
  failed: "failed",
};

export const decodeMachineList = (body: unknown): { machines: readonly ListedMachine[]; more: boolean } => {
  const fields = asObject(body, "listing");
  const machines = asArray(fields.hosts, "hosts").map((entry): ListedMachine => {
    const item = asObject(entry, "machine");
    const state = WIRE_STATE[readString(item, "phase")];
    if (state === undefined) throw new MalformedMessageError("phase: unknown value");
    return {
      name: readString(item, "ref"),
      address: readOptional(item, "addr", readString),
      type: readString(item, "flavor"),
      zone: readString(item, "area"),
      spot: readOptional(item, "loaner", readBoolean) ?? false,
      state,
      ageS: readNonNegative(item, "heldS"),
    };
  });
  return { machines, more: readBoolean(fields, "more") };
};

export const encodeProvisioningRequest = (
  ask: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): JsonObject => ({
  ask,
  flavor: type,
  area: zone,
  loaner: spot,
  number: count,
});

export const decodeProvisionedNames = (body: unknown): readonly string[] =>
  readNames(asObject(body, "rental").hosts, "hosts");
export const encodeDeletionRequest = (names: readonly string[]): JsonObject => ({ hosts: names });
