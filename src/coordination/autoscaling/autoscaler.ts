/**
 * Scales the shard's machines out and in, and keeps their list in line with the cloud's.
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
/**
 * Factor by which the periods of scale plans and machine lists grow while load is shed (level `degraded` and above).
 */
const SLOWDOWN_UNDER_LOAD = 4;
const LIST_PAGE_SIZE = 500;
const LIST_REQUEST_SHARE = 0.2;
const CONSOLIDATION_CHECK_INTERVAL = seconds(2);
const CONSOLIDATION_INTERVAL = seconds(15);
const IMMEDIATELY = 0 as Micros;

/** Periodically provisions and deletes machines so that the shard's capacity follows the demand of its jobs. */
export class Autoscaler {
  /**
   * Zones that are unreachable as a whole: no machine is provisioned there, and replacement capacity is provisioned
   * elsewhere.
   */
  unreachableZones: ReadonlySet<string> = new Set();
  private readonly demandHistory = new DemandHistory();
  private readonly deletions: MachineDeletionQueue;
  private readonly reconciler: MachineListReconciler;
  private readonly provisioning: ProvisioningRequests;
  private stopped = false;
  /** Whether a machine list of the cloud has been reconciled; no scaling takes place before. */
  private machineListReceived = false;
  private nextConsolidation: Micros = IMMEDIATELY;

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

  /** Ends both loops after their current step; no further requests are sent. */
  stop(): void {
    this.stopped = true;
    this.deletions.stop();
    this.provisioning.stop();
  }

  /** Adds a submitted job to the history from which headroom is planned. */
  recordDemand(spec: JobSpec): void {
    this.demandHistory.record(spec);
  }

  /** Requests the deletion of the machines from the cloud; resolved once the deletion queue is empty or stopped. */
  deleteMachines(machines: readonly Machine[], priority: DeletionPriority = "normal"): Promise<void> {
    return this.deletions.delete(machines, priority);
  }

  /** Reconciles the machine list and scales, each with its own period, until stopped. */
  async run(): Promise<void> {
    void this.runPeriodically(
      () => this.reconcileMachineList(),
      () => this.machineListPeriod(),
    );
    await this.runPeriodically(
      () => this.scale(),
      () => SCALE_INTERVAL,
    );
  }

  /**
   * Bounds the share of the cloud's request limit that is spent on machine lists. With thousands of machines a list has
   * several pages; read as often as a short one, it left hardly any requests for provisioning during a burst.
   */
  private machineListPeriod(): Micros {
    const { settings, shard } = this.context;
    const pages = 1 + Math.floor(shard.machines.size / LIST_PAGE_SIZE);
    const minPeriod = (pages / (settings.cloud.requestsPerS * LIST_REQUEST_SHARE)) * 1_000_000;
    return Math.max(seconds(2), settings.cloud.listLag / 2, minPeriod) as Micros;
  }

  private async runPeriodically(step: () => Promise<void>, period: () => Micros): Promise<void> {
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
    this.machineListReceived = true;
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
    if (!this.machineListReceived || this.context.shard.machineTypes().size === 0) return;
    const snapshot = this.scheduler.snapshot();
    const { scaleOut, scaleIn } = planScaling(snapshot, this.cloudOffers());
    snapshot.inspection.count += snapshot.shard.machines.size;
    this.scheduler.reportInspections();
    const { loadShedder } = this.context;
    // A saturated controller cannot serve the heartbeats of more machines; their leases would expire.
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
