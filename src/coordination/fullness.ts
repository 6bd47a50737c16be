import { fullKey } from "../bookkeeping/records.js";
import type { BlockLease, Services } from "./context.js";

/** Tells the other controllers, by a key, to accept nothing more for a block, or that they may again. */
export class Fullness {
  private saying = false;

  constructor(
    private readonly services: Pick<Services, "view" | "committer" | "overload">,
    private readonly lease: BlockLease,
    private readonly guard: (work: Promise<unknown>) => Promise<void>,
  ) {}

  say(): void {
    const { view, committer, overload } = this.services;
    const key = fullKey(this.lease.block);
    const entry = view.entries.get(key);
    const full = overload.atLeast("full");
    if (this.saying || full === (entry !== undefined)) return;
    this.saying = true;
    const { key: lease, version } = this.lease;
    const conditions = new Map([
      [lease, version],
      [key, entry?.version ?? 0],
    ]);
    const write = full ? ({ kind: "put", key, value: {} } as const) : ({ kind: "delete", key } as const);
    // Whatever becomes of it, the next tick looks again.
    const said = committer.propose(conditions, [write], "cancel").then(() => view.sync());
    void this.guard(said).then(() => {
      this.saying = false;
    });
  }
}
