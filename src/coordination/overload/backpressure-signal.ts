/** The key by which a leader tells other controllers to accept no more jobs for its shard. */

import { backpressureKey } from "../../storage/keys.js";
import type { Services, ShardLease } from "../context.js";

/** Tells the other controllers, by a key, to accept no more jobs for a shard, or that they may again. */
export class BackpressureSignal {
  private publishing = false;

  constructor(
    private readonly services: Pick<Services, "cache" | "transactions" | "loadShedder">,
    private readonly lease: ShardLease,
    private readonly guard: (work: Promise<unknown>) => Promise<void>,
  ) {}

  publish(): void {
    const { cache, transactions, loadShedder } = this.services;
    const key = backpressureKey(this.lease.shard);
    const entry = cache.entries.get(key);
    const full = loadShedder.atLeast("saturated");
    if (this.publishing || full === (entry !== undefined)) return;
    this.publishing = true;
    const { key: lease, version } = this.lease;
    const conditions = new Map([
      [lease, version],
      [key, entry?.version ?? 0],
    ]);
    const write = full ? ({ kind: "put", key, value: {} } as const) : ({ kind: "delete", key } as const);
    // Whatever becomes of it, the next check looks again.
    const published = transactions.submit(conditions, [write], "cancellation").then(() => cache.sync());
    void this.guard(published).then(() => {
      this.publishing = false;
    });
  }
}
