import { asArray, asObject, type Fields, Malformed, orNull, readAmount, readBoolean, readString } from "./json.js";
import { capacityOf, type Demand } from "./user.js";

export interface MachineType {
  readonly name: string;
  readonly capacity: Demand;
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
    if (typeof entry !== "string") throw new Malformed(`${what}: not names`);
    return entry;
  });

export const readTypes = (body: unknown): readonly MachineType[] =>
  asArray(asObject(body, "types").flavors, "flavors").map((entry) => {
    const fields = asObject(entry, "type");
    return {
      name: readString(fields, "sku"),
      capacity: capacityOf(
        readAmount(fields, "cpus"),
        orNull(fields, "accelerators", readAmount) ?? 0,
        readAmount(fields, "ramGb"),
      ),
      cacheGb: readAmount(fields, "localGb"),
      fetchGbPerS: readAmount(fields, "pullGbPerS"),
      price: readAmount(fields, "price"),
      spotPrice: orNull(fields, "spotPrice", readAmount) ?? readAmount(fields, "price"),
      bootS: readAmount(fields, "bootS"),
      zones: readNames(fields.areas, "areas"),
    };
  });

const WIRE_STATE: Readonly<Record<string, ListedMachine["state"]>> = {
  starting: "booting",
  running: "running",
  failed: "failed",
};

export const readListing = (body: unknown): { machines: readonly ListedMachine[]; more: boolean } => {
  const fields = asObject(body, "listing");
  const machines = asArray(fields.hosts, "hosts").map((entry): ListedMachine => {
    const item = asObject(entry, "machine");
    const state = WIRE_STATE[readString(item, "phase")];
    if (state === undefined) throw new Malformed("phase: unknown value");
    return {
      name: readString(item, "ref"),
      address: orNull(item, "addr", readString),
      type: readString(item, "flavor"),
      zone: readString(item, "area"),
      spot: orNull(item, "loaner", readBoolean) ?? false,
      state,
      ageS: readAmount(item, "heldS"),
    };
  });
  return { machines, more: readBoolean(fields, "more") };
};

export const rentRequest = (ask: string, type: string, zone: string, spot: boolean, count: number): Fields => ({
  ask,
  flavor: type,
  area: zone,
  loaner: spot,
  number: count,
});

export const readRented = (body: unknown): readonly string[] => readNames(asObject(body, "rental").hosts, "hosts");
export const deleteRequest = (names: readonly string[]): Fields => ({ hosts: names });
