import type { KeyValueEntry } from "../../protocol/key-value-store.js";
import type { KeyValueStore } from "../../storage/key-value-store.js";
import { outcomeKey } from "../../storage/keys.js";
import { type Clock, type Micros, sleep } from "../../transport/clock.js";
import type { Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/** Waiting for longer than this, a question had better be asked again: users give up after two seconds anyhow. */
const MAX_QUEUE_DELAY_S = 30;
/** From so many on, a page of the records is read instead of one at a time. */
const MIN_LOOKUPS_FOR_PAGE = 8;
const PAGE_SIZE = 200;

export type OutcomeLookup =
  | { readonly kind: "ok"; readonly value: KeyValueEntry }
  | { readonly kind: "missing" | "unknown" };

interface PendingLookup {
  readonly resolvers: ((found: OutcomeLookup) => void)[];
}

/** The key just before this one: a page begins after what it is given. */
const keyBefore = (key: string): string =>
  `${key.slice(0, -1)}${String.fromCharCode(key.charCodeAt(key.length - 1) - 1)}~`;

/**
 * Looks up the last words of jobs that are not current, in the order in which they were first asked for, within a share of the
 * state service's requests. What waits is looked up even if nobody waits for it any more, so that the next question finds it:
 * no job is the one that is never answered. One request a question took the whole budget from the view, and with it the
 * holder's right to act.
 */
export class OutcomeReader {
  /** In the order of asking; none of them has been sent yet, so that whoever asks now may share the answer. */
  private readonly waiting = new Map<string, PendingLookup>();
  private draining = false;

  constructor(
    private readonly store: Pick<KeyValueStore, "get" | "page">,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly interval: Micros,
    /** What was found, for those who ask later. */
    private readonly onFound: (id: string, entry: KeyValueEntry) => void,
  ) {}

  /** `unknown`: neither found nor surely missing; to be asked again. */
  find(id: string): Promise<OutcomeLookup> {
    return new Promise((settle) => {
      const known = this.waiting.get(id);
      if (known !== undefined) known.resolvers.push(settle);
      else if (this.waiting.size >= (MAX_QUEUE_DELAY_S * 1_000_000) / this.interval) {
        settle({ kind: "unknown" });
        return;
      } else this.waiting.set(id, { resolvers: [settle] });
      void this.drain();
    });
  }

  private async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    try {
      for (let oldestPending = this.first(); oldestPending !== null; oldestPending = this.first()) {
        const sent = this.clock.now();
        if (this.waiting.size >= MIN_LOOKUPS_FOR_PAGE) await this.readPage(oldestPending);
        else await this.readOne(oldestPending);
        const rest = sent + this.interval - this.clock.now();
        if (rest > 0) await sleep(this.clock, rest as Micros);
      }
    } catch (error) {
      this.log.error(LogEvent.OutcomeLookupFailed, { error: String(error) });
      for (const id of [...this.waiting.keys()]) this.settle(this.take(id), { kind: "unknown" });
    } finally {
      this.draining = false;
    }
  }

  private first(): string | null {
    const [id] = this.waiting.keys();
    return id ?? null;
  }

  /** No longer to be shared: the request leaves now. */
  private take(id: string): PendingLookup {
    const waiting = this.waiting.get(id) ?? { resolvers: [] };
    this.waiting.delete(id);
    return waiting;
  }

  private settle({ resolvers }: PendingLookup, found: OutcomeLookup): void {
    for (const done of resolvers) done(found);
  }

  private async readOne(id: string): Promise<void> {
    const waiting = this.take(id);
    const reply = await this.store.get(outcomeKey(id));
    if (reply.kind === "ok") this.onFound(id, reply.value);
    if (reply.kind === "ok") this.settle(waiting, { kind: "ok", value: reply.value });
    else this.settle(waiting, { kind: reply.kind === "missing" ? "missing" : "unknown" });
  }

  /** All that wait and lie within the page are answered by it, also those that it proves missing. */
  private async readPage(first: string): Promise<void> {
    const asked = [...this.waiting.keys()].map((id) => ({ id, key: outcomeKey(id), waiting: this.take(id) }));
    const from = outcomeKey(first);
    const reply = await this.store.page(outcomeKey(""), keyBefore(from), PAGE_SIZE);
    if (reply.kind !== "ok") {
      for (const { waiting } of asked) this.settle(waiting, { kind: "unknown" });
      return;
    }
    const { entries, more } = reply.value;
    const found = new Map(entries.map((entry) => [entry.key, entry]));
    const last = entries.at(-1)?.key ?? "";
    const left: { readonly id: string; readonly waiting: PendingLookup }[] = [];
    for (const { id, key, waiting } of asked) {
      const entry = found.get(key);
      if (entry !== undefined) {
        this.onFound(id, entry);
        this.settle(waiting, { kind: "ok", value: entry });
      } else if (key >= from && (!more || key <= last)) this.settle(waiting, { kind: "missing" });
      else left.push({ id, waiting });
    }
    // Beyond this page: still before those who have come meanwhile.
    const newcomers = [...this.waiting];
    this.waiting.clear();
    for (const { id, waiting } of left) this.waiting.set(id, waiting);
    for (const [id, waiting] of newcomers) {
      const known = this.waiting.get(id);
      if (known === undefined) this.waiting.set(id, waiting);
      else known.resolvers.push(...waiting.resolvers);
    }
  }
}
