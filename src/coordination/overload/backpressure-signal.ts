/** The back-pressure key with which a saturated shard leader makes all controllers defer submissions for its shard. */

import { backpressureKey } from "../../storage/keys.js";
import type { Services, ShardLease } from "../context.js";

/** Writes the shard's back-pressure key while this process is saturated, and deletes it afterwards. */
export class BackpressureSignal {
  private publishing = false;

  constructor(
    private readonly services: Pick<Services, "cache" | "transactions" | "loadShedder">,
    private readonly lease: ShardLease,
    private readonly guard: (work: Promise<unknown>) => Promise<void>,
  ) {}

  /** Starts a write or deletion of the key if it differs from the load level and no earlier one is in flight. */
  publish(): void {
    const { cache, transactions, loadShedder } = this.services;
    const key = backpressureKey(this.lease.shard);
    const entry = cache.entries.get(key);
    const saturated = loadShedder.atLeast("saturated");
    if (this.publishing || saturated === (entry !== undefined)) return;
    this.publishing = true;
    const { key: leaseKey, version } = this.lease;
    const conditions = new Map([
      [leaseKey, version],
      [key, entry?.version ?? 0],
    ]);
    const write = saturated ? ({ kind: "put", key, value: {} } as const) : ({ kind: "delete", key } as const);
    // A failed write needs no handling here: the next periodic check calls `publish` again.
    const published = transactions.submit(conditions, [write], "cancellation").then(() => cache.sync());
    void this.guard(published).then(() => {
      this.publishing = false;
    });
  }
}
