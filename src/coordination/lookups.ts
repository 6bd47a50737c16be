import { endKey } from "../bookkeeping/records.js";
import type { Store } from "../bookkeeping/store.js";
import type { Entry } from "../protocol/state.js";
import { type Clock, type Micros, sleep } from "../transport/clock.js";
import type { Log } from "../transport/log.js";

/** Waiting for longer than this, a question had better be asked again: users give up after two seconds anyhow. */
const LONGEST_QUEUE_S = 30;
/** From so many on, a page of the records is read instead of one at a time. */
const PAGE_FROM = 8;
const PAGE = 200;

export type LookedUp = { readonly kind: "ok"; readonly value: Entry } | { readonly kind: "missing" | "unknown" };

interface Waiting {
  readonly settle: ((found: LookedUp) => void)[];
}

/** The key just before this one: a page begins after what it is given. */
const before = (key: string): string =>
  `${key.slice(0, -1)}${String.fromCharCode(key.charCodeAt(key.length - 1) - 1)}~`;

/**
 * Looks up the last words of jobs that are not current, in the order in which they were first asked for, within a share of the
 * state service's requests. What waits is looked up even if nobody waits for it any more, so that the next question finds it:
 * no job is the one that is never answered. One request a question took the whole budget from the view, and with it the
 * holder's right to act.
 */
export class Lookups {
  /** In the order of asking; none of them has been sent yet, so that whoever asks now may share the answer. */
  private readonly waiting = new Map<string, Waiting>();
  private working = false;

  constructor(
    private readonly store: Pick<Store, "get" | "page">,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly gap: Micros,
    /** What was found, for those who ask later. */
    private readonly learn: (id: string, entry: Entry) => void,
  ) {}

  /** `unknown`: neither found nor surely missing; to be asked again. */
  find(id: string): Promise<LookedUp> {
    return new Promise((settle) => {
      const known = this.waiting.get(id);
      if (known !== undefined) known.settle.push(settle);
      else if (this.waiting.size >= (LONGEST_QUEUE_S * 1_000_000) / this.gap) {
        settle({ kind: "unknown" });
        return;
      } else this.waiting.set(id, { settle: [settle] });
      void this.work();
    });
  }

  private async work(): Promise<void> {
    if (this.working) return;
    this.working = true;
    try {
      for (let first = this.first(); first !== null; first = this.first()) {
        const sent = this.clock.now();
        if (this.waiting.size >= PAGE_FROM) await this.page(first);
        else await this.one(first);
        const rest = sent + this.gap - this.clock.now();
        if (rest > 0) await sleep(this.clock, rest as Micros);
      }
    } catch (error) {
      this.log.error("lookup failed", { error: String(error) });
      for (const id of [...this.waiting.keys()]) this.settle(this.take(id), { kind: "unknown" });
    } finally {
      this.working = false;
    }
  }

  private first(): string | null {
    const [id] = this.waiting.keys();
    return id ?? null;
  }

  /** No longer to be shared: the request leaves now. */
  private take(id: string): Waiting {
    const waiting = this.waiting.get(id) ?? { settle: [] };
    this.waiting.delete(id);
    return waiting;
  }

  private settle({ settle }: Waiting, found: LookedUp): void {
    for (const done of settle) done(found);
  }

  private async one(id: string): Promise<void> {
    const waiting = this.take(id);
    const reply = await this.store.get(endKey(id));
    if (reply.kind === "ok") this.learn(id, reply.value);
    if (reply.kind === "ok") this.settle(waiting, { kind: "ok", value: reply.value });
    else this.settle(waiting, { kind: reply.kind === "missing" ? "missing" : "unknown" });
  }

  /** All that wait and lie within the page are answered by it, also those that it proves missing. */
  private async page(first: string): Promise<void> {
    const asked = [...this.waiting.keys()].map((id) => ({ id, key: endKey(id), waiting: this.take(id) }));
    const from = endKey(first);
    const reply = await this.store.page(endKey(""), before(from), PAGE);
    if (reply.kind !== "ok") {
      for (const { waiting } of asked) this.settle(waiting, { kind: "unknown" });
      return;
    }
    const { entries, more } = reply.value;
    const found = new Map(entries.map((entry) => [entry.key, entry]));
    const last = entries.at(-1)?.key ?? "";
    const left: { readonly id: string; readonly waiting: Waiting }[] = [];
    for (const { id, key, waiting } of asked) {
      const entry = found.get(key);
      if (entry !== undefined) {
        this.learn(id, entry);
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
      else known.settle.push(...waiting.settle);
    }
  }
}
