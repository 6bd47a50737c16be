/** Pure functions that derive from the contact times of machines which zones are silent or mostly unreachable. */

import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { isReachable } from "./reachability.js";

/** A zone counts as silent when this many heartbeats of its machines are missing, but not before the minimum time. */
const MISSED_ZONE_HEARTBEATS = 8;
const MIN_ZONE_SILENCE = seconds(1.5);
/** With fewer machines in a zone, there are too few others to compare a machine with. */
export const MIN_ZONE_MACHINES = 3;
/** A zone with this share of unreachable machines counts as cut off, even if it still sends heartbeats. */
const UNREACHABLE_ZONE_SHARE = 0.5;

/** Latest contacts with the machines of one zone. */
export interface ZoneContact {
  /** When a machine of the zone last answered a query or command. */
  lastResponseAt: number;
  /** The machine with the latest heartbeat. */
  lastHeartbeatFrom: Machine;
  machines: number;
}

/** Limits for the detection of silence, in microseconds. */
export interface SilenceLimits {
  /** A machine is silent after this time without a heartbeat. */
  readonly machineSilence: number;
  readonly heartbeatInterval: Micros;
}

/** Time in microseconds within which several heartbeats are expected from a group of this many machines. */
export const silenceThreshold = (machines: number, { machineSilence, heartbeatInterval }: SilenceLimits): number =>
  Math.min(machineSilence, Math.max(MIN_ZONE_SILENCE, (MISSED_ZONE_HEARTBEATS * heartbeatInterval) / machines));

/** Returns the latest contacts with the machines, by zone. */
export const zoneContacts = (machines: readonly Machine[]): ReadonlyMap<string, ZoneContact> => {
  const contacts = new Map<string, ZoneContact>();
  for (const machine of machines) {
    const { reachability } = machine;
    let contact = contacts.get(machine.zone);
    if (contact === undefined) {
      contact = { lastResponseAt: 0, lastHeartbeatFrom: machine, machines: 0 };
      contacts.set(machine.zone, contact);
    }
    contact.lastResponseAt = Math.max(contact.lastResponseAt, reachability.lastResponseAt);
    if (reachability.lastHeartbeatAt > contact.lastHeartbeatFrom.reachability.lastHeartbeatAt)
      contact.lastHeartbeatFrom = machine;
    contact.machines += 1;
  }
  return contacts;
};

/**
 * Returns zones in which at least half of the machines, and at least `MIN_ZONE_MACHINES`, are dead or unreachable, even
 * if heartbeats are still received. Empty if this holds for all zones: the fault is then on the controller's side.
 */
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

/** Returns zones without any heartbeat for a time in which several were expected; empty if no zone sends heartbeats. */
export const silentZones = (machines: readonly Machine[], limits: SilenceLimits, now: Micros): ReadonlySet<string> => {
  const zones = new Map<string, { machines: number; lastHeartbeatAt: number }>();
  for (const { zone, reachability } of machines) {
    // Known only from stored records: the zone is not known yet.
    if (zone === "") continue;
    let activity = zones.get(zone);
    if (activity === undefined) {
      activity = { machines: 0, lastHeartbeatAt: 0 };
      zones.set(zone, activity);
    }
    activity.machines += 1;
    activity.lastHeartbeatAt = Math.max(activity.lastHeartbeatAt, reachability.lastHeartbeatAt);
  }
  const silent = [...zones].filter(
    ([, activity]) =>
      activity.machines >= MIN_ZONE_MACHINES &&
      now - activity.lastHeartbeatAt > silenceThreshold(activity.machines, limits),
  );
  // If all zones are silent, the fault is on the controller's side.
  return new Set(silent.length === zones.size ? [] : silent.map(([zone]) => zone));
};
