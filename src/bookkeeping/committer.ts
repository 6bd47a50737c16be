import type { Whole } from "../protocol/json.js";
import type { Write } from "../protocol/state.js";
import { type Clock, type Micros, ms } from "../transport/clock.js";
import { RateLimit } from "../transport/rate-limit.js";
import type { Committed, Store } from "./store.js";

interface Proposal {
  readonly conditions: ReadonlyMap<string, Whole>;
  readonly writes: readonly Write[];
  readonly resolve: (result: Committed) => void;
}

const MAX_IN_FLIGHT = 2;
const MAX_BYTES = 48 * 1_024;

/**
 * Puts conditional writes of this process together into few transactions. A proposal is all or nothing;
 * proposals that share a transaction do not share a fate: those whose conditions fail are taken out and the
 * others sent again.
 */
export class Committer {
  private readonly queue: Proposal[] = [];
  private readonly writes: RateLimit;
  private inFlight = 0;
  private armed = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    this.writes = new RateLimit(clock, store.budget.writesPerS);
  }

  /** How long a proposal made now is likely to wait for the write budget. */
  get backlog(): Micros {
    const count = this.queue.reduce((sum, proposal) => sum + proposal.writes.length, 1);
    return ((count / this.store.budget.writesPerS) * 1_000_000) as Micros;
  }

  propose(conditions: ReadonlyMap<string, Whole>, writes: readonly Write[]): Promise<Committed> {
    return new Promise((resolve) => {
      this.queue.push({ conditions, writes, resolve });
      // A moment's delay lets what one event causes travel together.
      this.arm(ms(2));
    });
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
    while (this.inFlight < MAX_IN_FLIGHT && this.queue.length > 0) {
      const wait = this.writes.waitFor(this.queue[0]?.writes.length ?? 1);
      if (wait > 0) {
        this.arm(wait);
        return;
      }
      const batch = this.takeBatch();
      this.inFlight += 1;
      void this.send(batch).finally(() => {
        this.inFlight -= 1;
        this.flush();
      });
    }
  }

  private takeBatch(): Proposal[] {
    const conditions = new Map<string, Whole>();
    const written = new Set<string>();
    const batch: Proposal[] = [];
    let ops = 0;
    let bytes = 0;
    for (let at = 0; at < this.queue.length; ) {
      const proposal = this.queue[at];
      if (proposal === undefined) break;
      const size = JSON.stringify(proposal.writes, (_, value: unknown) =>
        typeof value === "bigint" ? value.toString() : value,
      ).length;
      const fits =
        batch.length === 0 ||
        (ops + proposal.writes.length <= this.store.budget.writesPerTransaction &&
          conditions.size + proposal.conditions.size <= this.store.budget.writesPerTransaction * 4 &&
          bytes + size <= MAX_BYTES &&
          this.writes.waitFor(ops + proposal.writes.length) === 0);
      if (!fits) break;
      const clash =
        [...proposal.conditions].some(
          ([key, version]) => written.has(key) || (conditions.has(key) && conditions.get(key) !== version),
        ) || proposal.writes.some((write) => written.has(write.key) || conditions.has(write.key));
      if (clash) {
        at += 1;
        continue;
      }
      this.queue.splice(at, 1);
      batch.push(proposal);
      ops += proposal.writes.length;
      bytes += size;
      for (const [key, version] of proposal.conditions) conditions.set(key, version);
      for (const write of proposal.writes) written.add(write.key);
    }
    this.writes.take(ops);
    return batch;
  }

  private async send(batch: readonly Proposal[]): Promise<void> {
    const conditions = new Map<string, Whole>();
    for (const proposal of batch) for (const [key, version] of proposal.conditions) conditions.set(key, version);
    const result = await this.store.commit(
      conditions,
      batch.flatMap((proposal) => proposal.writes),
    );
    if (result.kind === "refused") this.writes.pause(ms(20 + 80 * this.random()));
    if (result.kind !== "conflict") {
      for (const proposal of batch) proposal.resolve(result);
      return;
    }
    const failed = new Set(result.keys);
    const hit = batch.filter((proposal) => [...proposal.conditions.keys()].some((key) => failed.has(key)));
    for (const proposal of hit.length > 0 ? hit : batch) proposal.resolve(result);
    if (hit.length > 0) this.queue.unshift(...batch.filter((proposal) => !hit.includes(proposal)));
  }
}
