/** Writes the table of links to the log when it has changed. */
import { type Micros, seconds } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { MeshLinkTable } from "./link-status.js";
import { LogEvent } from "./log-events.js";

/**
 * How long a change has to last. Peers' heartbeats lag by a period or two, for which an outage of a service looks like
 * the failure of one's own link.
 */
const MIN_STABLE_TIME = seconds(1.2);

/** One log line for each lasting change. */
export class LinkChangeLog {
  private logged = "";
  private current = "";
  private currentSince = 0 as Micros;

  constructor(private readonly log: Log) {}

  /** Takes the table as it is at `now`. */
  update(table: MeshLinkTable, now: Micros): void {
    const text = JSON.stringify(table);
    if (text !== this.current) this.currentSince = now;
    this.current = text;
    if (text === this.logged || now - this.currentSince < MIN_STABLE_TIME) return;
    this.log.info(LogEvent.LinksChanged, { ...table });
    this.logged = text;
  }
}
