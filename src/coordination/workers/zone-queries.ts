/** Control queries to a live machine of each zone in which silent machines are probed. */

import type { Machine } from "../../cluster/machine.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { PROBE_TIMEOUT } from "./detection-timeouts.js";
import { MIN_ZONE_MACHINES, type ZoneContact, zoneContacts } from "./zone-findings.js";

/** Time without a reply after which a zone counts as unanswered; two queries fit into it. */
const ZONE_UNANSWERED_LIMIT = seconds(3.6);

/** A series of queries to a zone without any reply yet. */
interface OpenZoneQuery {
  /** When the first one was sent. */
  readonly since: Micros;
  /** When the last one was sent. */
  readonly lastSentAt: Micros;
}

/**
 * Distinguishes a dead machine from a zone that is cut off: a failed probe is no evidence against a machine unless
 * other machines of its zone reply. When a machine of a zone is probed, the one with the latest heartbeat is probed
 * too. Without this, all seven machines of a site were deleted one after the other when their heartbeats arrived but
 * requests to them did not.
 */
export class ZoneQueries {
  private readonly openQueries = new Map<string, OpenZoneQuery>();

  constructor(private readonly probe: (machine: Machine) => void) {}

  /**
   * Sends the queries that are due. `machines`: those that count as up; `probedZones`: zones in which a machine has
   * just been probed. Returns the zones in which queries are still open.
   */
  update(machines: readonly Machine[], probedZones: ReadonlySet<string>, now: Micros): ReadonlySet<string> {
    const contacts = zoneContacts(machines);
    for (const [zone, contact] of contacts) this.updateZone(zone, contact, probedZones, now);
    for (const zone of this.openQueries.keys()) if (!contacts.has(zone)) this.openQueries.delete(zone);
    return new Set(this.openQueries.keys());
  }

  private updateZone(zone: string, contact: ZoneContact, probedZones: ReadonlySet<string>, now: Micros): void {
    const query = this.openQueries.get(zone);
    // With too few machines to compare, a query that was opened when there were more is closed as well: otherwise a
    // zone that shrank to one machine is never queried again and counts as cut off for ever.
    const answered = query !== undefined && contact.lastResponseAt > query.since;
    if (contact.machines < MIN_ZONE_MACHINES || answered) {
      this.openQueries.delete(zone);
      return;
    }
    const due = query === undefined ? probedZones.has(zone) : now - query.lastSentAt > PROBE_TIMEOUT;
    if (!due) return;
    this.openQueries.set(zone, { since: query?.since ?? now, lastSentAt: now });
    this.probe(contact.lastHeartbeatFrom);
  }

  /** Returns zones in which no machine has replied to several queries, even if heartbeats are still received. */
  unansweredZones(now: Micros): readonly string[] {
    return [...this.openQueries].filter(([, { since }]) => now - since > ZONE_UNANSWERED_LIMIT).map(([zone]) => zone);
  }
}
