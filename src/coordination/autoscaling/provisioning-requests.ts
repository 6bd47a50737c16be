/**
 * Provisioning requests to the cloud.
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
/** The maximum number of requests per offer and scale plan; the next plan requests the machines still missing. */
const MAX_REQUESTS_PER_OFFER = 4;

interface ProvisioningRequest {
  readonly name: string;
  readonly offer: MachineOffer;
  readonly count: number;
  readonly requestedAt: Micros;
}

/**
 * Pending provisioning requests. A retry has the same request name, so that the cloud executes the request only once.
 */
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

  /** Requests to which the cloud has not responded yet. */
  get pending(): readonly { readonly offer: MachineOffer; readonly count: number }[] {
    return this.requests;
  }

  /** Prevents further requests; one in flight may still complete. */
  stop(): void {
    this.stopped = true;
  }

  /** Queues requests for the machines of a scale plan, up to a maximum number per offer. */
  add(scaleOut: readonly ScaleOutRequest[]): void {
    const { clock, lease } = this.context;
    for (const { offer, count } of scaleOut) {
      const total = Math.min(count, MAX_MACHINES_PER_REQUEST * MAX_REQUESTS_PER_OFFER);
      for (let remaining = total; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
        this.requestCounter += 1;
        // Unique: the epoch changes at every failover, and the counter increases within an epoch.
        const name = `r-${lease.shard}-${lease.epoch}-${this.requestCounter}`;
        const requestCount = Math.min(remaining, MAX_MACHINES_PER_REQUEST);
        this.requests.push({ name, offer, count: requestCount, requestedAt: clock.now() });
      }
    }
  }

  /**
   * Sends the pending requests one at a time and stops at the first failure; the failed request stays pending. A
   * refusal by the cloud is not a failure: it completes the request without any machines.
   */
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
      this.recordCloudAvailable();
      this.requests.splice(this.requests.indexOf(request), 1);
      this.handleGrant(request, reply.kind === "ok" ? reply.value : []);
    }
  }

  private recordCloudAvailable(): void {
    if (this.cloudUnavailableSince === null) return;
    const { clock, eventListener } = this.context;
    const span = (clock.now() - this.cloudUnavailableSince) as Micros;
    this.cloudUnavailableSince = null;
    eventListener?.({ kind: "cloud away", span });
  }

  private handleGrant(request: ProvisioningRequest, names: readonly string[]): void {
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

  private addMachines({ offer, requestedAt }: ProvisioningRequest, names: readonly string[]): void {
    const { shard, clock } = this.context;
    const { type, zone, spot } = offer;
    for (const name of names) {
      if (shard.machines.has(name) || shard.deletedMachines.has(name)) continue;
      const machine = createMachine({ name, typeName: type.name, type, zone, spot }, clock.now());
      machine.lifecycle.provisionedAt = requestedAt;
      shard.machines.set(name, machine);
    }
  }
}
