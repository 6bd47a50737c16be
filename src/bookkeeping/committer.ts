import { formatJson, type Whole } from "../protocol/json.js";
import type { Write } from "../protocol/state.js";
import { type Clock, type Micros, ms, seconds } from "../transport/clock.js";
import { RateLimit } from "../transport/rate-limit.js";
import type { Committed, Store } from "./store.js";

/**
 * In the order in which the write budget is spent: cancellations, which nothing may keep waiting; what else a user
 * waits for; what a task's start or a job's end waits for, of urgent work and of other work; what has ended and is
 * still reported by its worker; and what only keeps the records short. Ends of tasks shared a queue with starts at
 * first: with thousands of machines there were several times as many of them as writes, and starts waited for seconds.
 * Urgent starts shared one with all others: a swarm of a guest's single tasks kept them waiting for 2.3 s in the mean.
 */
export const URGENCIES = ["cancel", "user", "prompt", "work", "note", "upkeep"] as const;
export type Urgency = (typeof URGENCIES)[number];

const byUrgency = <T>(make: () => T): Record<Urgency, T> => ({
  cancel: make(),
  user: make(),
  prompt: make(),
  work: make(),
  note: make(),
  upkeep: make(),
});

/**
 * What has waited for longer than this has a turn of its own, so that no urgency starves behind those before it.
 * Cancellations and users' writes come first anyway.
 */
const OVERDUE: ReadonlyMap<Urgency, Micros> = new Map([
  ["prompt", seconds(1)],
  ["work", seconds(10)],
  ["note", seconds(30)],
  ["upkeep", seconds(60)],
]);
const TURNS = [...OVERDUE.keys()];
/** One transaction in so many begins with what is overdue. */
const TURN = 3;

/** What becomes of a proposal; a busy state service is waited for here. */
export type Settled = Exclude<Committed, { readonly kind: "busy" }>;

interface Proposal {
  readonly urgency: Urgency;
  readonly conditions: ReadonlyMap<string, Whole>;
  /** Known before the writes are: they are made when the proposal leaves, so that they are up to date. */
  readonly keys: readonly string[];
  readonly build: () => readonly Write[];
  readonly resolve: (result: Settled) => void;
  readonly since: Micros;
  tries: number;
}

interface Batch {
  readonly proposals: Proposal[];
  readonly conditions: Map<string, Whole>;
  readonly written: Set<string>;
  readonly writes: Write[];
  bytes: number;
}

/** No limit on values is taken to be below this: what is smaller was refused for something else. */
const LEAST_VALUE = 512;
const MAX_IN_FLIGHT = 2;
/** So often a limit that was passed is waited for before whoever proposed is told. */
const MAX_TRIES = 8;
const MAX_BYTES = 48 * 1_024;
/** Users' writes leave this share of a transaction to what else is waiting: accepted work must get going, too. */
const USER_SHARE = 0.75;
const PROMPT_SHARE = 0.9;
/** Of a second's writes. */
const RESERVED = 0.5;

const sizeOf = (writes: readonly Write[]): number =>
  JSON.stringify(writes, (_, value: unknown) => (typeof value === "bigint" ? value.toString() : value)).length;

/**
 * Puts conditional writes of this process together into few transactions. A proposal is all or nothing;
 * proposals that share a transaction do not share a fate: those whose conditions fail are taken out and the
 * others sent again.
 */
export class Committer {
  private readonly queues: Readonly<Record<Urgency, Proposal[]>> = byUrgency(() => []);
  private readonly budget: RateLimit;
  private inFlight = 0;
  private sent = byUrgency(() => 0);
  private batches = 0;
  private lastTurn = 0;
  private armed = false;
  /** So large a value, and so many writes at once, may be: as told, and less where the state service has refused as much. */
  valueBytes: number;
  mostWrites: number;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    this.budget = new RateLimit(clock, store.budget.writesPerS);
    this.valueBytes = store.budget.valueBytes ?? Number.POSITIVE_INFINITY;
    this.mostWrites = store.budget.writesPerTransaction;
  }

  /** Writes a second that this process may send at present. */
  get rate(): number {
    return this.budget.current;
  }

  /** Writes a second that this process may send where others leave it room. */
  get fullRate(): number {
    return this.store.budget.writesPerS;
  }

  /** For the log: changes sent by urgency since this was last asked, what waits, and the rate at present. */
  summary(): { readonly sent: Readonly<Record<Urgency, number>>; readonly waiting: number; readonly perS: number } {
    const { sent } = this;
    this.sent = byUrgency(() => 0);
    const waiting = URGENCIES.reduce((sum, urgency) => sum + this.queues[urgency].length, 0);
    return { sent, waiting, perS: Math.round(this.budget.current * 10) / 10 };
  }

  /** How long a user's write proposed now is likely to wait for the write budget. */
  get backlog(): Micros {
    const count = this.queues.user.reduce((sum, proposal) => sum + proposal.keys.length, 1);
    return ((count / this.budget.current) * 1_000_000) as Micros;
  }

  propose(
    conditions: ReadonlyMap<string, Whole>,
    writes: readonly Write[],
    urgency: Urgency = "work",
  ): Promise<Settled> {
    const keys = writes.map((write) => write.key);
    return this.proposeLater(conditions, keys, () => writes, urgency);
  }

  /** What was proposed as a note of this key and still waits is now waited for. */
  hurry(key: string, urgency: "prompt" | "work"): void {
    const at = this.queues.note.findIndex(({ keys }) => keys.includes(key));
    if (at < 0) return;
    const since = this.clock.now();
    this.queues[urgency].push(...this.queues.note.splice(at, 1).map((proposal) => ({ ...proposal, urgency, since })));
    this.arm(ms(2));
  }

  /** A note of this key that still waits is not wanted any more: it is answered as refused, and never sent. */
  withdraw(key: string): void {
    const at = this.queues.note.findIndex(({ keys }) => keys.includes(key));
    if (at < 0) return;
    for (const { resolve } of this.queues.note.splice(at, 1)) resolve({ kind: "refused" });
  }

  /** Proposals of this urgency that wait. */
  waiting(urgency: Urgency): number {
    return this.queues[urgency].length;
  }

  /** `build` is called when the proposal leaves; it must write these keys and no others. */
  proposeLater(
    conditions: ReadonlyMap<string, Whole>,
    keys: readonly string[],
    build: () => readonly Write[],
    urgency: Urgency,
  ): Promise<Settled> {
    return new Promise((resolve) => {
      const since = this.clock.now();
      this.queues[urgency].push({ urgency, conditions, keys, build, resolve, since, tries: 0 });
      // A moment's delay lets what one event causes travel together.
      this.arm(ms(2));
    });
  }

  /** Whose turn it is to begin a transaction; null: nothing waits. */
  private first(): Proposal | null {
    const turn = this.queues.cancel.length === 0 && this.batches % TURN === 0;
    const overdue = turn ? this.nextOverdue() : null;
    if (overdue !== null) return overdue;
    for (const urgency of URGENCIES) {
      const proposal = this.queues[urgency][0];
      if (proposal !== undefined) return proposal;
    }
    return null;
  }

  /** Of the urgencies with something overdue, each in its turn: the worst of them alone would keep the others out again. */
  private nextOverdue(): Proposal | null {
    const now = this.clock.now();
    for (let step = 1; step <= TURNS.length; step += 1) {
      const urgency = TURNS[(this.lastTurn + step) % TURNS.length] ?? "work";
      const proposal = this.queues[urgency][0];
      if (proposal !== undefined && now - proposal.since > (OVERDUE.get(urgency) ?? 0)) return proposal;
    }
    return null;
  }

  private arm(delay: Micros): void {
    if (this.armed) return;
    this.armed = true;
    this.clock.after(delay, () => {
      this.armed = false;
      this.flush();
    });
  }

  private flush(): void {
    for (let first = this.first(); first !== null && this.inFlight < MAX_IN_FLIGHT; first = this.first()) {
      const wait = this.budget.waitFor(first.keys.length + this.reserveFor(first));
      if (wait > 0) {
        this.arm(wait);
        return;
      }
      if (this.batches % TURN === 0) this.lastTurn = Math.max(0, TURNS.indexOf(first.urgency));
      const batch = this.takeBatch(first.urgency);
      this.batches += 1;
      this.inFlight += 1;
      void this.send(batch).finally(() => {
        this.inFlight -= 1;
        this.flush();
      });
    }
  }

  private takeBatch(beginWith: Urgency): Batch {
    const batch: Batch = { proposals: [], conditions: new Map(), written: new Set(), writes: [], bytes: 0 };
    const most = Math.min(this.mostWrites, this.budget.available());
    const { prompt, work, note, upkeep } = this.queues;
    const others = work.length + note.length + upkeep.length > 0;
    const notReserved = most - this.budget.current * RESERVED;
    // Whose turn it is gets one in any case, and no more than that before the others.
    this.fill(batch, beginWith, 0);
    this.fill(batch, "cancel", most);
    this.fill(batch, "user", prompt.length > 0 || others ? Math.floor(most * USER_SHARE) : most);
    this.fill(batch, "prompt", others ? Math.floor(most * PROMPT_SHARE) : most);
    this.fill(batch, "work", most);
    this.fill(batch, "note", notReserved);
    this.fill(batch, "upkeep", notReserved);
    this.budget.take(batch.writes.length);
    return batch;
  }

  /** What nobody waits for leaves part of the saved-up budget to a wave of starts, until it is overdue. */
  private reserveFor({ urgency, since }: Proposal): number {
    if (urgency !== "note" && urgency !== "upkeep") return 0;
    const overdue = this.clock.now() - since > (OVERDUE.get(urgency) ?? 0);
    return overdue ? 0 : this.budget.current * RESERVED;
  }

  private fill(batch: Batch, urgency: Urgency, most: number): void {
    const queue = this.queues[urgency];
    let kept = 0;
    let at = 0;
    for (; at < queue.length; at += 1) {
      const proposal = queue[at];
      if (proposal === undefined) break;
      const empty = batch.proposals.length === 0;
      const fits =
        empty ||
        (batch.writes.length + proposal.keys.length <= most &&
          batch.conditions.size + proposal.conditions.size <= this.mostWrites * 4 &&
          batch.bytes <= MAX_BYTES);
      if (!fits) break;
      if (!empty && this.clashes(batch, proposal)) {
        queue[kept] = proposal;
        kept += 1;
        continue;
      }
      const writes = proposal.build();
      batch.proposals.push(proposal);
      batch.writes.push(...writes);
      this.sent[urgency] += writes.length;
      batch.bytes += sizeOf(writes);
      for (const [key, version] of proposal.conditions) batch.conditions.set(key, version);
      for (const key of proposal.keys) batch.written.add(key);
    }
    queue.splice(kept, at - kept);
  }

  private clashes(batch: Batch, proposal: Proposal): boolean {
    for (const [key, version] of proposal.conditions) {
      if (batch.written.has(key)) return true;
      if (batch.conditions.has(key) && batch.conditions.get(key) !== version) return true;
    }
    return proposal.keys.some((key) => batch.written.has(key) || batch.conditions.has(key));
  }

  private async send(batch: Batch): Promise<void> {
    const result = await this.store.commit(batch.conditions, batch.writes);
    switch (result.kind) {
      case "busy":
        this.budget.pause(ms(20 + 80 * this.random()));
        this.again(batch.proposals.filter((proposal) => this.retries(proposal)));
        return;
      case "conflict": {
        const failed = new Set(result.keys);
        const hit = batch.proposals.filter(({ conditions }) => [...conditions.keys()].some((key) => failed.has(key)));
        for (const proposal of hit.length > 0 ? hit : batch.proposals) proposal.resolve(result);
        if (hit.length > 0) this.again(batch.proposals.filter((proposal) => !hit.includes(proposal)));
        return;
      }
      case "too large":
        if (batch.proposals.length > 1) {
          // Each by itself, or in smaller company: which of them it is shows then.
          this.mostWrites = Math.max(1, Math.floor(batch.writes.length / 2));
          this.again(batch.proposals);
          return;
        }
        this.learnLimits(batch.writes);
        break;
      case "refused":
        // Most likely an outage: not to be met with all that is waiting, time and again.
        this.budget.hold(ms(20 + 80 * this.random()));
        break;
      case "ok":
      case "lost":
    }
    for (const proposal of batch.proposals) proposal.resolve(result);
  }

  /** The same is never sent again as it is: whoever proposed it finds lower limits here. */
  private learnLimits(writes: readonly Write[]): void {
    if (writes.length > 1) this.mostWrites = Math.min(this.mostWrites, writes.length - 1);
    const sizes = writes.map((write) => (write.kind === "put" ? formatJson(write.value).length : 0));
    const largest = Math.max(0, ...sizes);
    if (largest >= LEAST_VALUE) this.valueBytes = Math.min(this.valueBytes, largest - 1);
  }

  private retries(proposal: Proposal): boolean {
    proposal.tries += 1;
    if (proposal.tries <= MAX_TRIES) return true;
    proposal.resolve({ kind: "refused" });
    return false;
  }

  private again(proposals: readonly Proposal[]): void {
    for (const urgency of URGENCIES) {
      this.queues[urgency].unshift(...proposals.filter((proposal) => proposal.urgency === urgency));
    }
  }
}
