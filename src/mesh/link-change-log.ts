/** Logs the link table when it has changed. */
import { type Micros, seconds } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import type { MeshLinkTable } from "./link-status.js";
import { LogEvent } from "./log-events.js";

/**
 * A change is logged once it has lasted this long. Peers' heartbeats lag by one or two periods, during which an outage
 * of a service looks like a failure of this controller's own link.
 */
const MIN_STABLE_TIME = seconds(1.2);

/** Writes one log line for each change that lasts `MIN_STABLE_TIME`. */
export class LinkChangeLog {
  private lastLoggedText = "";
  private currentText = "";
  private currentSince = 0 as Micros;

  constructor(private readonly log: Log) {}

  /** Compares the table at `now` with the one logged last. Must be called periodically. */
  update(table: MeshLinkTable, now: Micros): void {
    const text = JSON.stringify(table);
    if (text !== this.currentText) this.currentSince = now;
    this.currentText = text;
    if (text === this.lastLoggedText || now - this.currentSince < MIN_STABLE_TIME) return;
    this.log.info(LogEvent.LinksChanged, { ...table });
    this.lastLoggedText = text;
  }
}
