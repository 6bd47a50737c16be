import type { ShardContext } from "../../coordination/context.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import { endedKey, graphKey, partPrefix, planKey, readUpload, uploadKey, uploadOfKey } from "./records.js";

/** Incomplete uploads are deleted after this time; clients stop retrying long before. */
const MAX_UPLOAD_AGE = seconds(900);
const SWEEP_PERIOD = seconds(30);
const MAX_DELETES_PER_SWEEP = 50;

/**
 * Deletes the parts of uploads that were abandoned or whose run has been accepted, and the plan chunks of runs that
 * were never accepted.
 */
export class UploadCleanup {
  private readonly firstSeen = new Map<string, Micros>();
  private sweptAt: Micros;
  private sweeping = false;

  constructor(
    private readonly context: Pick<ShardContext, "cache" | "store" | "transactions" | "lease" | "clock" | "log">,
  ) {
    this.sweptAt = context.clock.now();
  }

  /** Deletes at most one stale upload per `SWEEP_PERIOD`. */
  sweep(): void {
    const { cache, clock, log } = this.context;
    const now = clock.now();
    if (this.sweeping || now - this.sweptAt < SWEEP_PERIOD) return;
    this.sweptAt = now;
    const stale: string[] = [];
    const present = new Set<string>();
    for (const key of cache.entries.keys()) {
      const id = uploadOfKey(key);
      if (id === null) continue;
      present.add(id);
      const since = this.firstSeen.get(id) ?? now;
      this.firstSeen.set(id, since);
      if (now - since > MAX_UPLOAD_AGE || cache.entries.has(graphKey(id))) stale.push(id);
    }
    for (const id of this.firstSeen.keys()) if (!present.has(id)) this.firstSeen.delete(id);
    const [next] = stale;
    if (next === undefined) return;
    this.sweeping = true;
    this.deleteUpload(next)
      .catch((error: unknown) => log.error("upload not cleared away", { error: describeError(error) }))
      .then(() => {
        this.sweeping = false;
      }, undefined);
  }

  /** Deletes the parts first and the marker last, so that the next sweep finds what a crash leaves behind. */
  private async deleteUpload(id: string): Promise<void> {
    const { store, transactions, lease, log, cache } = this.context;
    const marker = cache.entries.get(uploadKey(id));
    if (marker === undefined) return;
    // A new upload under the same id writes the marker first, so these deletes fail from then on.
    const conditions = new Map([
      [lease.key, lease.version],
      [marker.key, marker.version],
    ]);
    const reply = await store.list(partPrefix(id));
    if (reply.kind !== "ok") return;
    for (const { key } of reply.value.entries.slice(0, MAX_DELETES_PER_SWEEP)) {
      const result = await transactions.submit(conditions, [{ kind: "delete", key }], "maintenance");
      if (result.kind !== "ok") return;
    }
    if (reply.value.entries.length > MAX_DELETES_PER_SWEEP) return;
    const { plan, chunks = 0 } = readUpload(marker.value);
    if (plan !== undefined && !cache.entries.has(graphKey(id))) {
      // If the run has been accepted and has ended since, its record still refers to the chunks: they stay.
      const ended = await store.get(endedKey(id));
      if (ended.kind !== "ok" && ended.kind !== "missing") return;
      for (let at = 0; ended.kind === "missing" && at < chunks; at += 1) {
        const key = planKey(id, plan, at);
        const result = await transactions.submit(conditions, [{ kind: "delete", key }], "maintenance");
        if (result.kind !== "ok") return;
      }
    }
    await transactions.submit(conditions, [{ kind: "delete", key: marker.key }], "maintenance");
    log.info("upload cleared away", { run: id });
  }
}
