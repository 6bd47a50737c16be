/** Queries by which one machine that is heard speaks for its zone, while others there are probed. */

import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { PROBE_TIMEOUT } from "./detection-timeouts.js";
import { MIN_ZONE_MACHINES, type ZoneContact, zoneContacts } from "./zone-findings.js";

/** Two queries to a zone without an answer. */
const ZONE_UNANSWERED_LIMIT = seconds(3.6);

/** Queries to a zone that nobody there has answered. */
interface OpenZoneQuery {
  /** When the first one was sent. */
  readonly since: Micros;
  /** When the last one was sent. */
  readonly lastSentAt: Micros;
}

/**
 * A machine that does not answer says nothing while nobody else in its zone is known to: with each machine that is asked for
 * its silence, one that is heard is asked as well. All seven machines of a site whose heartbeats came while nothing got
 * to them were given up one after the other.
 */
export class ZoneQueries {
  private readonly open = new Map<string, OpenZoneQuery>();

  constructor(private readonly probe: (machine: Machine) => void) {}

  /**
   * Sends the queries that are due. `machines`: those that count as up; `probedZones`: zones in which a machine has just
   * been probed. Returns the zones in which queries are still open.
   */
  update(machines: readonly Machine[], probedZones: ReadonlySet<string>, now: Micros): ReadonlySet<string> {
    const contacts = zoneContacts(machines);
    for (const [zone, contact] of contacts) this.updateZone(zone, contact, probedZones, now);
    for (const zone of this.open.keys()) if (!contacts.has(zone)) this.open.delete(zone);
    return new Set(this.open.keys());
  }

  private updateZone(zone: string, contact: ZoneContact, probedZones: ReadonlySet<string>, now: Micros): void {
    const query = this.open.get(zone);
    // With fewer machines there is nobody to compare with, also where there were more when the first one was asked: of a
    // zone that had come down to one machine, nobody was asked again, and it counted as cut off for ever.
    const answered = query !== undefined && contact.lastResponseAt > query.since;
    if (contact.machines < MIN_ZONE_MACHINES || answered) {
      this.open.delete(zone);
      return;
    }
    const due = query === undefined ? probedZones.has(zone) : now - query.lastSentAt > PROBE_TIMEOUT;
    if (!due) return;
    this.open.set(zone, { since: query?.since ?? now, lastSentAt: now });
    this.probe(contact.lastHeard);
  }

  /** Zones of which nobody has answered several queries, whatever is heard from there. */
  unansweredZones(now: Micros): readonly string[] {
    return [...this.open].filter(([, { since }]) => now - since > ZONE_UNANSWERED_LIMIT).map(([zone]) => zone);
  }
}
