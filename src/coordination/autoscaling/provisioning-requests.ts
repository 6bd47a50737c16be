/**
 * Requests to the cloud for machines.
 * @module
 */
import { createMachine } from "../../cluster/machine.js";
import type { Micros } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { CapacityBackoff } from "./capacity-backoff.js";
import type { CloudClient } from "./cloud-client.js";
import { type MachineOffer, offerKey } from "./cloud-offers.js";
import type { ScaleOutRequest } from "./scale-plan.js";

const MAX_MACHINES_PER_REQUEST = 50;
/** Requests of one plan for the same offer; the next plan requests what is still missing. */
const MAX_REQUESTS_PER_OFFER = 4;

interface ProvisioningRequest {
  readonly name: string;
  readonly offer: MachineOffer;
  readonly count: number;
  readonly since: Micros;
}

/** Provisioning requests until they are answered. A repeated request has the same name: the cloud carries it out once. */
export class ProvisioningRequests {
  readonly capacityBackoff = new CapacityBackoff();
  private readonly requests: ProvisioningRequest[] = [];
  private requestCounter = 0;
  private cloudUnavailableSince: Micros | null = null;
  private stopped = false;

  constructor(
    private readonly context: ShardContext,
    private readonly cloud: CloudClient,
  ) {}

  /** Requests that have not been answered yet. */
  get pending(): readonly { readonly offer: MachineOffer; readonly count: number }[] {
    return this.requests;
  }

  /** No further requests are sent. */
  stop(): void {
    this.stopped = true;
  }

  /** Adds requests for the machines of a plan, up to a bounded number for each offer. */
  add(scaleOut: readonly ScaleOutRequest[]): void {
    const { clock, lease } = this.context;
    for (const { offer, count } of scaleOut) {
      const total = Math.min(count, MAX_MACHINES_PER_REQUEST * MAX_REQUESTS_PER_OFFER);
      for (let remaining = total; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
        this.requestCounter += 1;
        // Never reused: the epoch is fresh at every failover, the counter within it.
        const name = `r-${lease.shard}-${lease.epoch}-${this.requestCounter}`;
        const requestCount = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
        this.requests.push({ name, offer, count: requestCount, since: clock.now() });
      }
    }
  }

  /** Sends the pending requests one after the other, up to the first that fails. */
  async send(): Promise<void> {
    const { lease } = this.context;
    for (const request of [...this.requests]) {
      if (!lease.isValid() || this.stopped) return;
      const { type, zone, spot } = request.offer;
      const reply = await this.cloud.provision(request.name, type.name, zone, spot, request.count);
      if (reply.kind === "failed") {
        this.cloudUnavailableSince ??= this.context.clock.now();
        return;
      }
      this.cloudAnswered();
      this.requests.splice(this.requests.indexOf(request), 1);
      this.machinesProvisioned(request, reply.kind === "ok" ? reply.value : []);
    }
  }

  private cloudAnswered(): void {
    if (this.cloudUnavailableSince === null) return;
    const { clock, eventListener } = this.context;
    const span = (clock.now() - this.cloudUnavailableSince) as Micros;
    this.cloudUnavailableSince = null;
    eventListener?.({ kind: "cloud away", span });
  }

  private machinesProvisioned(request: ProvisioningRequest, names: readonly string[]): void {
    const { clock, log, eventListener } = this.context;
    const { name, offer, count } = request;
    const { type, zone, spot } = offer;
    log.info(LogEvent.MachinesProvisioned, {
      ask: name,
      type: type.name,
      zone,
      spot,
      asked: count,
      got: names.length,
    });
    this.addMachines(request, names);
    this.capacityBackoff.recordGrant(offer, count, names.length, clock.now());
    if (names.length >= count) return;
    const span = (this.capacityBackoff.until(offerKey(offer)) - clock.now()) as Micros;
    eventListener?.({ kind: "refused", type: type.name, zone, spot, span });
  }

  private addMachines({ offer, since }: ProvisioningRequest, names: readonly string[]): void {
    const { shard, clock } = this.context;
    const { type, zone, spot } = offer;
    for (const name of names) {
      if (shard.machines.has(name) || shard.deletedMachines.has(name)) continue;
      const machine = createMachine({ name, typeName: type.name, type, zone, spot }, clock.now());
      machine.lifecycle.provisionedAt = since;
      shard.machines.set(name, machine);
    }
  }
}
