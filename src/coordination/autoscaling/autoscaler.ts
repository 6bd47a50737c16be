/**
 * Scales the shard's machines out and in.
 * @module
 */
import type { Machine } from "../../cluster/machine.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { type Micros, ms, seconds, sleep } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import type { CloudClient } from "./cloud-client.js";
import type { CloudOffers } from "./cloud-offers.js";
import { chooseMachineToConsolidate } from "./consolidation.js";
import { DemandHistory } from "./demand-history.js";
import { type DeletionPriority, MAX_DELETIONS_PER_REQUEST, MachineDeletionQueue } from "./machine-deletion-queue.js";
import { MachineListReconciler } from "./machine-list-reconciler.js";
import { ProvisioningRequests } from "./provisioning-requests.js";
import { planScaling } from "./scale-plan.js";

const SCALE_INTERVAL = ms(400);
/** Under load, plans and lists are made this many times less often. */
const SLOWDOWN_UNDER_LOAD = 4;
const LIST_PAGE_SIZE = 500;
const LIST_REQUEST_SHARE = 0.2;
const CONSOLIDATION_CHECK_INTERVAL = seconds(2);
const CONSOLIDATION_INTERVAL = seconds(15);
const NEVER = 0 as Micros;

/** Brings the machines that are present towards those that the shard's jobs need. */
export class Autoscaler {
  /** Zones that cannot be reached as a whole: nothing is provisioned there, and capacity is provided elsewhere. */
  unreachableZones: ReadonlySet<string> = new Set();
  private readonly demandHistory = new DemandHistory();
  private readonly deletions: MachineDeletionQueue;
  private readonly reconciler: MachineListReconciler;
  private readonly provisioning: ProvisioningRequests;
  private stopped = false;
  /** A list of the cloud's machines has been taken in. */
  private listed = false;
  private nextConsolidation: Micros = NEVER;

  constructor(
    private readonly context: ShardContext,
    private readonly cloud: CloudClient,
    private readonly scheduler: Scheduler,
    heartbeats: HeartbeatProcessor,
  ) {
    this.deletions = new MachineDeletionQueue(context, cloud, heartbeats);
    this.reconciler = new MachineListReconciler(context, heartbeats, this.deletions);
    this.provisioning = new ProvisioningRequests(context, cloud);
  }

  /** Ends both loops, and sends no further requests. */
  stop(): void {
    this.stopped = true;
    this.deletions.stop();
    this.provisioning.stop();
  }

  /** Adds a job that was submitted to the history from which headroom is planned. */
  recordDemand(spec: JobSpec): void {
    this.demandHistory.record(spec);
  }

  /** Deletes the machines at the cloud. */
  deleteMachines(machines: readonly Machine[], priority: DeletionPriority = "normal"): Promise<void> {
    return this.deletions.delete(machines, priority);
  }

  /** Reconciles the cloud's list and scales, each in its own period, until stopped. */
  async run(): Promise<void> {
    void this.loop(
      () => this.reconcileMachineList(),
      () => this.listPeriod(),
    );
    await this.loop(
      () => this.scale(),
      () => SCALE_INTERVAL,
    );
  }

  /**
   * Lists take a bounded share of the calls that the cloud allows: with thousands of machines they are several pages
   * long, and read as often as a short one they left provisioning in a wave hardly any calls.
   */
  private listPeriod(): Micros {
    const { settings, shard } = this.context;
    const pages = 1 + Math.floor(shard.machines.size / LIST_PAGE_SIZE);
    const share = (pages / (settings.cloud.requestsPerS * LIST_REQUEST_SHARE)) * 1_000_000;
    return Math.max(seconds(2), settings.cloud.listLag / 2, share) as Micros;
  }

  private async loop(step: () => Promise<void>, period: () => Micros): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.context.lease.isValid()) await step();
      } catch (error) {
        this.context.log.error(LogEvent.AutoscalerStepFailed, { error: String(error) });
      }
      const underLoad = this.context.loadShedder.atLeast("degraded");
      await sleep(this.context.clock, (underLoad ? period() * SLOWDOWN_UNDER_LOAD : period()) as Micros);
    }
  }

  private async reconcileMachineList(): Promise<void> {
    const reply = await this.cloud.listMachines();
    if (reply.kind !== "ok" || this.stopped) return;
    this.reconciler.reconcile(reply.value);
    this.listed = true;
  }

  private cloudOffers(): CloudOffers {
    const { provisioning } = this;
    return {
      pendingRequests: provisioning.pending,
      unavailableUntil: (key) => provisioning.capacityBackoff.until(key),
      unreachableZones: this.unreachableZones,
      demandHistory: this.demandHistory,
    };
  }

  private async scale(): Promise<void> {
    if (!this.listed || this.context.shard.machineTypes().size === 0) return;
    const snapshot = this.scheduler.snapshot();
    const { scaleOut, scaleIn } = planScaling(snapshot, this.cloudOffers());
    snapshot.inspection.count += snapshot.shard.machines.size;
    this.scheduler.reportInspections();
    const { loadShedder } = this.context;
    // Machines beyond what this controller can manage would only be lost.
    if (!loadShedder.atLeast("saturated")) this.provisioning.add(scaleOut);
    if (scaleIn.length > 0)
      void this.deleteMachines(scaleIn.slice(0, MAX_DELETIONS_PER_REQUEST).map(({ machine }) => machine));
    if (!loadShedder.atLeast("reduced")) this.consolidate(snapshot);
    await this.provisioning.send();
  }

  private consolidate(snapshot: SchedulerSnapshot): void {
    if (snapshot.now < this.nextConsolidation) return;
    this.nextConsolidation = (snapshot.now + CONSOLIDATION_CHECK_INTERVAL) as Micros;
    const machine = chooseMachineToConsolidate(snapshot, this.demandHistory);
    if (machine === null) return;
    machine.lifecycle.drainReason = "scale-in";
    this.nextConsolidation = (snapshot.now + CONSOLIDATION_INTERVAL) as Micros;
    this.context.log.info(LogEvent.ConsolidationStarted, { machine: machine.name, tasks: machine.tasks.size });
  }
}
