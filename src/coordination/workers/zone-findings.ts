/** What the contact times of machines say of their zones: silent, mostly unreachable. Pure functions. */

import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { isReachable } from "./reachability.js";

/** A zone counts as cut off when so many of its heartbeats are missing, and not before the least time of silence. */
const MISSED_ZONE_HEARTBEATS = 8;
const MIN_ZONE_SILENCE = seconds(1.5);
/** With fewer machines in a zone there is nobody to compare one with. */
export const MIN_ZONE_MACHINES = 3;
/** Of a zone's machines, so many that nothing gets to make it a cut of the zone, whatever is still heard from there. */
const UNREACHABLE_ZONE_SHARE = 0.5;

/** The contacts with one zone's machines. */
export interface ZoneContact {
  /** When a machine of the zone last answered a query or command. */
  lastResponseAt: number;
  /** The machine heard of last. */
  lastHeard: Machine;
  machines: number;
}

/** When silence starts to say something, in microseconds. */
export interface SilenceLimits {
  /** A machine is silent after this time without a heartbeat. */
  readonly machineSilence: number;
  readonly heartbeatInterval: Micros;
}

/** Within this time (microseconds) so many machines ought to have been heard several times. */
export const expectedQuietTime = (machines: number, { machineSilence, heartbeatInterval }: SilenceLimits): number =>
  Math.min(machineSilence, Math.max(MIN_ZONE_SILENCE, (MISSED_ZONE_HEARTBEATS * heartbeatInterval) / machines));

/** By zone, the last contacts with its machines. */
export const zoneContacts = (machines: readonly Machine[]): ReadonlyMap<string, ZoneContact> => {
  const contacts = new Map<string, ZoneContact>();
  for (const machine of machines) {
    const { reachability } = machine;
    let contact = contacts.get(machine.zone);
    if (contact === undefined) {
      contact = { lastResponseAt: 0, lastHeard: machine, machines: 0 };
      contacts.set(machine.zone, contact);
    }
    contact.lastResponseAt = Math.max(contact.lastResponseAt, reachability.lastResponseAt);
    if (reachability.lastHeartbeatAt > contact.lastHeard.reachability.lastHeartbeatAt) contact.lastHeard = machine;
    contact.machines += 1;
  }
  return contacts;
};

/** Zones to most of whose machines nothing gets, though heartbeats may still come from there. */
export const mostlyUnreachableZones = (machines: readonly Machine[], dead: ReadonlySet<Machine>): readonly string[] => {
  const zones = new Map<string, { machines: number; unreachable: number }>();
  for (const machine of machines) {
    if (machine.zone === "") continue;
    let counts = zones.get(machine.zone);
    if (counts === undefined) {
      counts = { machines: 0, unreachable: 0 };
      zones.set(machine.zone, counts);
    }
    counts.machines += 1;
    if (dead.has(machine) || !isReachable(machine.reachability)) counts.unreachable += 1;
  }
  const cutOff = [...zones].filter(
    ([, counts]) =>
      counts.unreachable >= MIN_ZONE_MACHINES && counts.unreachable >= counts.machines * UNREACHABLE_ZONE_SHARE,
  );
  return cutOff.length === zones.size ? [] : cutOff.map(([zone]) => zone);
};

/** Zones of which nothing has been heard for a time in which many of their machines ought to have sent heartbeats. */
export const silentZones = (machines: readonly Machine[], limits: SilenceLimits, now: Micros): ReadonlySet<string> => {
  const zones = new Map<string, { machines: number; lastHeartbeatAt: number }>();
  for (const { zone, reachability } of machines) {
    // Known from the records only: in no zone that anything could be concluded of.
    if (zone === "") continue;
    let known = zones.get(zone);
    if (known === undefined) {
      known = { machines: 0, lastHeartbeatAt: 0 };
      zones.set(zone, known);
    }
    known.machines += 1;
    known.lastHeartbeatAt = Math.max(known.lastHeartbeatAt, reachability.lastHeartbeatAt);
  }
  const silent = [...zones].filter(
    ([, known]) =>
      known.machines >= MIN_ZONE_MACHINES && now - known.lastHeartbeatAt > expectedQuietTime(known.machines, limits),
  );
  // Where no zone at all is heard, the fault is on the controller's side.
  return new Set(silent.length === zones.size ? [] : silent.map(([zone]) => zone));
};
