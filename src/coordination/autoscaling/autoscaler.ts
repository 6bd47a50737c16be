import { eventFieldsOf } from "../../cluster/events.js";
import { createMachine, type Machine } from "../../cluster/machine.js";
import type { ListedMachine } from "../../protocol/cloud.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { type Micros, ms, seconds, sleep } from "../../transport/clock.js";
import { exponentialBackoff, type ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import { CapacityBackoff } from "./capacity-backoff.js";
import type { CloudClient } from "./cloud-client.js";
import { type CloudOffers, type MachineOffer, offerKey } from "./cloud-offers.js";
import { chooseMachineToConsolidate } from "./consolidation.js";
import { DemandHistory } from "./demand-history.js";
import { planScaling, type ScaleOutRequest } from "./scale-plan.js";

const SCALE_INTERVAL = ms(400);
/** Under load, plans and lists are made so much less often. */
const SLOWDOWN_UNDER_LOAD = 4;
const LIST_PAGE_SIZE = 500;
const LIST_REQUEST_SHARE = 0.2;
const MAX_MACHINES_PER_REQUEST = 50;
/** Asks in one go for the same type, zone and kind; the next plan asks for what is still missing. */
const MAX_REQUESTS_PER_OFFER = 4;
const MAX_DELETIONS_PER_REQUEST = 100;
const CONSOLIDATION_CHECK_INTERVAL = seconds(2);
const CONSOLIDATION_INTERVAL = seconds(15);
const NEVER = 0 as Micros;

interface ProvisioningRequest {
  readonly name: string;
  readonly offer: MachineOffer;
  readonly count: number;
  readonly since: Micros;
}

/** Brings the machines that are present towards those that are wanted. */
export class Autoscaler {
  private readonly pendingRequests: ProvisioningRequest[] = [];
  private requestCounter = 0;
  private readonly capacityBackoff = new CapacityBackoff();
  private readonly demandHistory = new DemandHistory();
  /** Zones that cannot be reached as a whole: nothing is rented there, and room is made elsewhere. */
  unreachableZones: ReadonlySet<string> = new Set();
  private readonly pendingDeletions: Machine[] = [];
  private deleting = false;
  private stopped = false;
  private cloudUnavailableSince: Micros | null = null;
  private listed = false;
  private nextConsolidation: Micros = NEVER;

  constructor(
    private readonly context: ShardContext,
    private readonly cloud: CloudClient,
    private readonly scheduler: Scheduler,
    private readonly heartbeats: HeartbeatProcessor,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  recordDemand(spec: JobSpec): void {
    this.demandHistory.record(spec);
  }

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
   * long, and read as often as a short one they left rentals in a wave hardly any calls.
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
      const coarse = this.context.loadShedder.atLeast("degraded");
      await sleep(this.context.clock, (coarse ? period() * SLOWDOWN_UNDER_LOAD : period()) as Micros);
    }
  }

  // What the cloud says -----------------------------------------------------------------------------------

  private async reconcileMachineList(): Promise<void> {
    const reply = await this.cloud.listMachines();
    if (reply.kind !== "ok" || this.stopped) return;
    const { shard, clock, settings } = this.context;
    const names = new Set<string>();
    for (const listed of reply.value) {
      names.add(listed.name);
      if (!shard.deletedMachines.has(listed.name)) this.takeIn(listed);
    }
    this.listed = true;
    const now = clock.now();
    for (const machine of [...shard.machines.values()]) {
      if (names.has(machine.name) || machine.tasks.size > 0) continue;
      // Absence is weak, so it only ends records that nothing depends on and that nobody has heard of for long.
      const quiet = now - Math.max(machine.reachability.lastHeartbeatAt, machine.lifecycle.provisionedAt);
      if (quiet > settings.workers.lease + 4 * settings.cloud.listLag + seconds(20))
        shard.machines.delete(machine.name);
    }
    for (const name of shard.deletedMachines)
      if (!names.has(name) && shard.deletedMachines.size > 500) shard.deletedMachines.delete(name);
  }

  private takeIn(listed: ListedMachine): void {
    const { shard, clock, log } = this.context;
    const type = shard.machineTypes().get(listed.type) ?? null;
    let machine = shard.machines.get(listed.name);
    if (machine === undefined) {
      machine = createMachine(
        { name: listed.name, typeName: listed.type, type, zone: listed.zone, spot: listed.spot },
        clock.now(),
      );
      machine.lifecycle.provisionedAt = (clock.now() - seconds(listed.ageS)) as Micros;
      shard.machines.set(listed.name, machine);
      log.info(LogEvent.MachineDiscovered, { machine: listed.name, state: listed.state });
    }
    machine.type = type;
    machine.typeName = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.address ??= listed.address;
    if (machine.state === "unconfirmed") machine.state = "booting";
    // After a handover this finds the machines at once, long before their workers have found us.
    if (listed.state === "running" && machine.state === "booting") this.context.queryStatus(machine);
    if (listed.state === "failed" && !machine.lifecycle.deleting) {
      log.info(LogEvent.MachineFailed, { machine: machine.name });
      this.context.eventListener?.({ kind: "machine failed", ...eventFieldsOf(machine) });
      this.heartbeats.machineLost(machine, "failed");
      void this.deleteMachines([machine]);
    }
  }

  /** One call at a time for all that is to go: a call for each few machines left no calls for rentals in a wave. */
  async deleteMachines(machines: readonly Machine[]): Promise<void> {
    for (const machine of machines) machine.lifecycle.deleting = true;
    this.pendingDeletions.push(...machines);
    if (this.deleting) return;
    this.deleting = true;
    try {
      // The cloud takes so many names at once; a longer list was refused for ever, and a zone's machines stayed.
      while (this.pendingDeletions.length > 0 && !this.stopped)
        await this.deleteBatch(this.pendingDeletions.splice(0, MAX_DELETIONS_PER_REQUEST));
    } finally {
      this.deleting = false;
    }
  }

  /** The answer proves that the machines and all that was on them are gone. */
  private async deleteBatch(machines: readonly Machine[]): Promise<void> {
    const { shard, clock, lease, log } = this.context;
    for (let tries = 0; !this.stopped; tries += 1) {
      if (lease.isValid()) {
        const reply = await this.cloud.deleteMachines(machines.map((machine) => machine.name));
        if (reply.kind === "ok") break;
      }
      await sleep(clock, exponentialBackoff(tries, ms(500), seconds(5)));
    }
    if (this.stopped) return;
    for (const machine of machines) {
      machine.state = "deleted";
      shard.deletedMachines.add(machine.name);
      this.context.eventListener?.({ kind: "machine deleted", ...eventFieldsOf(machine) });
      this.heartbeats.machineLost(machine, "deleted");
      shard.machines.delete(machine.name);
    }
    log.info(LogEvent.MachinesDeleted, { machines: machines.map((machine) => machine.name) });
  }

  // Bringing both together --------------------------------------------------------------------------------

  private cloudOffers(): CloudOffers {
    return {
      pendingRequests: this.pendingRequests,
      unavailableUntil: (key) => this.capacityBackoff.until(key),
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
    // Machines beyond what can be carried would only come to be lost.
    if (!loadShedder.atLeast("saturated")) this.rent(scaleOut);
    if (scaleIn.length > 0)
      void this.deleteMachines(scaleIn.slice(0, MAX_DELETIONS_PER_REQUEST).map(({ machine }) => machine));
    if (!loadShedder.atLeast("reduced")) this.consolidate(snapshot);
    await this.sendPendingRequests();
  }

  private rent(wanted: readonly ScaleOutRequest[]): void {
    const { clock, lease } = this.context;
    for (const { offer, count } of wanted) {
      for (
        let left = Math.min(count, MAX_MACHINES_PER_REQUEST * MAX_REQUESTS_PER_OFFER);
        left > 0;
        left -= MAX_MACHINES_PER_REQUEST
      ) {
        this.requestCounter += 1;
        // Never reused: the lease number is fresh at every handover, the counter within it.
        const name = `r-${lease.shard}-${lease.epoch}-${this.requestCounter}`;
        this.pendingRequests.push({ name, offer, count: Math.min(left, MAX_MACHINES_PER_REQUEST), since: clock.now() });
      }
    }
  }

  private async sendPendingRequests(): Promise<void> {
    const { lease } = this.context;
    for (const request of [...this.pendingRequests]) {
      if (!lease.isValid() || this.stopped) return;
      const { type, zone, spot } = request.offer;
      const reply = await this.cloud.provision(request.name, type.name, zone, spot, request.count);
      if (reply.kind === "failed") {
        this.cloudUnavailableSince ??= this.context.clock.now();
        return;
      }
      if (this.cloudUnavailableSince !== null) {
        const span = (this.context.clock.now() - this.cloudUnavailableSince) as Micros;
        this.cloudUnavailableSince = null;
        this.context.eventListener?.({ kind: "cloud away", span });
      }
      this.pendingRequests.splice(this.pendingRequests.indexOf(request), 1);
      this.provisioned(request, reply.kind === "ok" ? reply.value : []);
    }
  }

  private provisioned(request: ProvisioningRequest, names: readonly string[]): void {
    const { shard, clock, log } = this.context;
    const { type, zone, spot } = request.offer;
    log.info(LogEvent.MachinesProvisioned, {
      ask: request.name,
      type: type.name,
      zone,
      spot,
      asked: request.count,
      got: names.length,
    });
    for (const name of names) {
      const known = shard.machines.get(name);
      if (known !== undefined || shard.deletedMachines.has(name)) continue;
      const machine = createMachine({ name, typeName: type.name, type, zone, spot }, clock.now());
      machine.lifecycle.provisionedAt = request.since;
      shard.machines.set(name, machine);
    }
    this.capacityBackoff.recordGrant(request.offer, request.count, names.length, clock.now());
    if (names.length >= request.count) return;
    const span = (this.capacityBackoff.until(offerKey(request.offer)) - clock.now()) as Micros;
    this.context.eventListener?.({ kind: "refused", type: type.name, zone, spot, span });
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
