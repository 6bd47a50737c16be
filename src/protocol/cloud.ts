/** Messages of the cloud API: machine types, machine lists, provisioning and deletion requests. */
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

/** A machine type that the cloud offers. Prices are per hour. */
export interface MachineType {
  readonly name: string;
  readonly capacity: Resources;
  /** Size of the image cache, in GB. */
  readonly cacheGb: number;
  /** Rate at which images are fetched, in GB per second. */
  readonly fetchGbPerS: number;
  readonly price: number;
  /** Price of a spot instance; equals `price` where the cloud gives none. */
  readonly spotPrice: number;
  /** Boot time of a new machine in seconds, as stated by the cloud. */
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** An entry of the cloud's machine list. */
export interface ListedMachine {
  readonly name: string;
  /** Null: not known yet. */
  readonly address: string | null;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  /** Time since it was provisioned, in seconds. */
  readonly ageS: number;
}

/** One page of the cloud's machine list. */
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

/** Decodes the list of machine types. Throws MalformedMessageError. */
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

/** Decodes a page of the machine list. Throws MalformedMessageError. */
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

/**
 * Encodes a request for `count` machines. `requestName` is the idempotency key: a repeated request provisions no more.
 */
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

/** Decodes the names of the provisioned machines. Throws MalformedMessageError. */
export const decodeProvisionedNames = (body: unknown): readonly string[] =>
  readNames(asObject(body, "rental"), "hosts");

/** Encodes a request to delete the machines with these names. */
export const encodeDeletionRequest = (names: readonly string[]): JsonObject => ({ hosts: names });
