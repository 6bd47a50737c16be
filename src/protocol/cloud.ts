/** Messages of the cloud: machine types, lists of machines, requests to provision and to delete. */
import {
  asArray,
  asObject,
  type JsonObject,
  readBoolean,
  readKeyword,
  readNames,
  readNonNegative,
  readOptional,
  readString,
} from "./json.js";
import { availableResources, type Resources } from "./resources.js";

/** A type of machine that the cloud offers. Prices are for one hour. */
export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  /** Disk for images, in GB. */
  readonly cacheGb: number;
  /** Rate at which images are fetched, in GB a second. */
  readonly fetchGbPerS: number;
  readonly price: number;
  /** The price of a spot instance; `price` where the cloud names none. */
  readonly spotPrice: number;
  /** Time that a new machine takes to boot, as the cloud states it. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A machine as the cloud's list shows it. */
export interface ListedMachine {
  readonly name: string;
  /** Null: not known yet. */
  readonly address: string | null;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  /** Time since it was provisioned. */
  readonly ageS: number;
}

/** One page of the cloud's list of machines. */
export interface MachinePage {
  readonly machines: readonly ListedMachine[];
  /** Whether there are further pages. */
  readonly more: boolean;
}

const STATE_BY_KEYWORD: Readonly<Record<string, ListedMachine["state"]>> = {
  starting: "booting",
  running: "running",
  failed: "failed",
};

/** Decodes the machine types on offer. Throws MalformedMessageError. */
export const decodeMachineTypes = (body: unknown): readonly MachineType[] =>
  asArray(asObject(body, "types").flavors, "flavors").map(decodeMachineType);

const decodeMachineType = (value: unknown): MachineType => {
  const fields = asObject(value, "type");
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
    zones: readNames(fields, "areas"),
  };
};

/** Decodes a page of the list of machines. Throws MalformedMessageError. */
export const decodeMachineList = (body: unknown): MachinePage => {
  const fields = asObject(body, "listing");
  const machines = asArray(fields.hosts, "hosts").map(decodeListedMachine);
  return { machines, more: readBoolean(fields, "more") };
};

const decodeListedMachine = (value: unknown): ListedMachine => {
  const fields = asObject(value, "machine");
  const state = readKeyword(fields, "phase", STATE_BY_KEYWORD);
  return {
    name: readString(fields, "ref"),
    address: readOptional(fields, "addr", readString),
    type: readString(fields, "flavor"),
    zone: readString(fields, "area"),
    spot: readOptional(fields, "loaner", readBoolean) ?? false,
    state,
    ageS: readNonNegative(fields, "heldS"),
  };
};

/** Request for `count` machines. `requestName`: the same name sent again provisions nothing more. */
export const encodeProvisioningRequest = (
  requestName: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): JsonObject => ({
  ask: requestName,
  flavor: type,
  area: zone,
  loaner: spot,
  number: count,
});

/** Decodes the names of the machines that are provisioned. Throws MalformedMessageError. */
export const decodeProvisionedNames = (body: unknown): readonly string[] =>
  readNames(asObject(body, "rental"), "hosts");

/** Request to delete machines. */
export const encodeDeletionRequest = (names: readonly string[]): JsonObject => ({ hosts: names });
