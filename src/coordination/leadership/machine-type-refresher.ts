/** Refreshes the machine types from the cloud API, and records them in the key-value store. */
import type { MachineType } from "../../protocol/cloud.js";
import { MACHINE_TYPES_KEY } from "../../storage/keys.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { CloudClient } from "../autoscaling/cloud-client.js";
import type { ShardContext } from "../context.js";
import type { FailureGuard } from "./failure-guard.js";

const REFRESH_INTERVAL = seconds(30);

/** Collaborators of a `MachineTypeRefresher`. */
export interface MachineTypeRefresherDependencies {
  readonly context: Pick<ShardContext, "clock" | "cache" | "transactions" | "settings" | "scheduleRound">;
  readonly cloud: CloudClient;
  /** Replaced in place by each refresh; shared with all readers of machine types. */
  readonly machineTypes: Map<string, MachineType>;
  readonly guard: FailureGuard;
}

/** Periodically lists the machine types of the cloud. */
export class MachineTypeRefresher {
  private refreshedAt: Micros = 0 as Micros;

  constructor(private readonly dependencies: MachineTypeRefresherDependencies) {}

  /** Starts a refresh unless the last one started less than 30 s ago. */
  refreshIfDue(): void {
    const { context, guard } = this.dependencies;
    const { clock } = context;
    if (this.refreshedAt !== 0 && clock.now() - this.refreshedAt < REFRESH_INTERVAL) return;
    this.refreshedAt = clock.now();
    void guard(this.refresh());
  }

  private async refresh(): Promise<void> {
    const { context, cloud, machineTypes } = this.dependencies;
    const reply = await cloud.listMachineTypes();
    if (reply.kind !== "ok") return;
    machineTypes.clear();
    for (const type of reply.value.types) machineTypes.set(type.name, type);
    context.scheduleRound();
    await this.record(reply.value.raw);
  }

  /** Records the list once, for controllers that start during a cloud outage. */
  private async record(rawTypes: unknown): Promise<void> {
    const { cache, transactions, settings } = this.dependencies.context;
    const fits = JSON.stringify(rawTypes).length < settings.store.valueBytes;
    if (cache.entries.has(MACHINE_TYPES_KEY) || !fits) return;
    await transactions.submit(new Map([[MACHINE_TYPES_KEY, 0]]), [
      { kind: "put", key: MACHINE_TYPES_KEY, value: rawTypes },
    ]);
  }
}
