import type { HttpRequest, HttpResponse } from "../transport/http.js";
import type { HostInfo, MachineObserver } from "./machine-observer.js";
import { json } from "./network.js";
import type { NamedRandom, Random } from "./random.js";
import { S, type Timeline } from "./simulation.js";
import { type CapacitySpec, catalogOf, type SiteSpec, type TypeSpec } from "./site-spec.js";

/** Worker emulation on a machine that is up; implemented by `Worker` and by `FastMachine`. */
export interface MachineWorker {
  readonly host: { readonly address: string };
  /** Announces that the machine will be reclaimed in `inUs` microseconds. */
  notice(inUs: number): void;
  /** Suspends the machine for `forUs` microseconds. */
  hang(forUs: number): void;
  /** Makes the machine faulty for `forUs` microseconds, forever by default: every task started in that time fails. */
  makeFaulty(forUs?: number): void;
  /** Restarts the worker process within a fraction of a second, without its tasks; `keepCounters` as in `Worker`. */
  restart(keepCounters: boolean): void;
  /** Ends the machine with all its tasks. */
  end(): void;
}

/** A rented machine. Times in microseconds of simulated time; null: not yet. */
export interface CloudMachine {
  readonly ref: string;
  readonly info: HostInfo;
  readonly type: TypeSpec;
  readonly since: number;
  upAt: number | null;
  goneAt: number | null;
  worker: MachineWorker | null;
  phase: "starting" | "running" | "gone";
}

/** Shares of boots that never complete, complete late, or complete early. */
export interface BootFaults {
  readonly never: number;
  readonly late: number;
  readonly early: number;
}

/** Default shares of failed, late and early boots. */
export const DEFAULT_BOOTS: BootFaults = { never: 0.03, late: 0.1, early: 0.1 };
/** Every boot completes, within the usual spread of boot times. */
export const RELIABLE_BOOTS: BootFaults = { never: 0, late: 0, early: 0 };

/** Factors on the boot time of the type for late and early boots. */
const LATE_BOOT_FACTOR = 4;
const EARLY_BOOT_FACTOR = 0.05;
const RESPONSE_DELAY_US = 100_000;
/** A machine that is deleted is charged for at least this time. */
const MIN_CHARGE_US = 60 * S;
const HOUR_US = 3_600 * S;

/** Number of further machines of a type, zone and purchase model (spot or on-demand) that can be rented now. */
export type Room = (type: string, zone: string, spot: boolean, cloud: CloudService) => number;

/** Free capacity under fixed limits; combinations that are not listed have none. */
export const fixedCapacity = (capacity: readonly CapacitySpec[]): Room => {
  const counts = new Map(capacity.map(({ type, zone, spot, count }) => [capacityKey(type, zone, spot), count]));
  return (type, zone, spot, cloud) => (counts.get(capacityKey(type, zone, spot)) ?? 0) - cloud.count(type, zone, spot);
};

const capacityKey = (type: string, zone: string, spot: boolean): string => `${type}/${zone}/${spot}`;

/** Emulates the cloud: machine lists are stale and may go back in time, and boots may be late or never complete. */
export class CloudService {
  readonly machines = new Map<string, CloudMachine>();
  /** Machines granted by request id, so that a retried request is idempotent. */
  private readonly grantsByRequest = new Map<string, string[]>();
  /** Ended machines that a stale list may still contain, oldest first. */
  private readonly endedMachines: CloudMachine[] = [];
  /** Machines currently charged, by type, zone and purchase model. */
  private readonly chargedCounts = new Map<string, number>();
  private nextNumber = 1;
  private endedCost = 0;
  private readonly endedCostByType = new Map<string, number>();
  /** Until this time all requests are refused. */
  outageUntil = 0;
  /** Number of requests received. */
  calls = 0;
  /** End of the injected capacity shortage, by type, zone and purchase model. */
  private readonly shortageUntil = new Map<string, number>();
  boots: BootFaults = DEFAULT_BOOTS;

  /** `room` is evaluated at every provisioning request. */
  constructor(
    private readonly timeline: Timeline,
    private readonly random: Random,
    private readonly namedRandom: NamedRandom,
    private readonly site: SiteSpec,
    private readonly startWorker: (info: HostInfo, type: TypeSpec) => MachineWorker,
    private readonly witness: MachineObserver,
    private readonly room: Room,
  ) {}

  serve = async (request: HttpRequest): Promise<HttpResponse> => {
    this.calls += 1;
    await new Promise<void>((resolve) => this.timeline.after(RESPONSE_DELAY_US, resolve));
    if (this.outageUntil > this.timeline.now) return json(503, { error: "trouble" });
    if (request.target === "/catalog") return json(200, catalogOf(this.site.types));
    if (request.target.startsWith("/hosts?")) return this.list(request.target);
    if (request.target === "/hosts/delete") {
      const { hosts } = JSON.parse(request.body) as { hosts: string[] };
      for (const name of hosts) this.take(name, "deleted");
      return json(200, {});
    }
    return this.rent(request.body);
  };

  /** Lists the machines as of a random earlier time, derived from their timestamps instead of from stored lists. */
  private list(target: string): HttpResponse {
    const { listLagUs } = this.site.cloud;
    const url = new URL(target, "http://cloud");
    const from = url.searchParams.get("from") ?? "";
    const page = Math.min(500, Number(url.searchParams.get("page") ?? 500));
    const at = this.timeline.now - listLagUs * (0.3 + this.random.next() * 1.7);
    const oldest = this.timeline.now - 3 * listLagUs;
    while ((this.endedMachines[0]?.goneAt ?? oldest) < oldest) {
      const machine = this.endedMachines.shift();
      if (machine !== undefined) this.machines.delete(machine.ref);
    }
    const hosts: unknown[] = [];
    let more = false;
    // Names are assigned in ascending order, so the map is already sorted.
    for (const machine of this.machines.values()) {
      if (machine.ref <= from || machine.since > at || (machine.goneAt !== null && machine.goneAt <= at)) continue;
      if (hosts.length === page) {
        more = true;
        break;
      }
      const isUp = machine.upAt !== null && machine.upAt <= at;
      hosts.push({
        ref: machine.ref,
        addr: isUp ? (machine.worker?.host.address ?? null) : null,
        flavor: machine.info.type,
        area: machine.info.zone,
        loaner: machine.info.spot,
        phase: isUp ? "running" : "starting",
        heldS: (at - machine.since) / S,
      });
    }
    return json(200, { hosts, more });
  }

  private rent(body: string): HttpResponse {
    const { ask, flavor, area, loaner, number } = JSON.parse(body) as {
      ask: string;
      flavor: string;
      area: string;
      loaner: boolean;
      number: number;
    };
    const granted = this.grantsByRequest.get(ask);
    if (granted !== undefined) return json(200, { hosts: granted });
    const type = this.site.types.find((entry) => entry.name === flavor);
    if (type === undefined || !type.zones.includes(area)) return json(400, {});
    const hosts = this.grant(type, area, loaner, number);
    if (hosts.length === 0) return json(503, { error: "no capacity" });
    this.grantsByRequest.set(ask, hosts);
    return json(200, { hosts });
  }

  /** Rents up to `number` machines, limited by free capacity; returns their names. */
  grant(type: TypeSpec, zone: string, spot: boolean, number: number): string[] {
    const refused = (this.shortageUntil.get(capacityKey(type.name, zone, spot)) ?? 0) > this.timeline.now;
    const room = refused ? 0 : Math.max(0, this.room(type.name, zone, spot, this));
    const count = Math.min(number, room);
    if (count < number) this.witness.refused(type.name, zone, spot);
    return Array.from({ length: count }, () => this.add(type, zone, spot));
  }

  /** Number of machines of a type, zone and purchase model that are currently charged. */
  count(type: string, zone: string, spot: boolean): number {
    return this.chargedCounts.get(capacityKey(type, zone, spot)) ?? 0;
  }

  /** Injects a capacity shortage for a type, zone and purchase model. */
  refuse(type: string, zone: string, spot: boolean, forUs: number): void {
    this.shortageUntil.set(capacityKey(type, zone, spot), this.timeline.now + forUs);
  }

  /** Adds a machine. `bootUs`: boot time; null for a random one, 0 for a machine that exists from the start. */
  add(type: TypeSpec, zone: string, spot: boolean, bootUs: number | null = null): string {
    const ref = `n-${String(this.nextNumber++).padStart(6, "0")}`;
    const info: HostInfo = { name: ref, type: type.name, zone, spot };
    const machine: CloudMachine = {
      ref,
      info,
      type,
      since: this.timeline.now,
      upAt: null,
      goneAt: null,
      worker: null,
      phase: "starting",
    };
    this.machines.set(ref, machine);
    this.chargedCounts.set(capacityKey(type.name, zone, spot), this.count(type.name, zone, spot) + 1);
    this.witness.machineAsked(info);
    const delay = bootUs ?? this.bootTime(ref, type);
    if (delay !== null) this.timeline.after(delay, () => this.completeBoot(machine));
    return ref;
  }

  private bootTime(ref: string, type: TypeSpec): number | null {
    const { never, late, early } = this.boots;
    const draw = this.namedRandom.of("boot", ref);
    if (draw < never) return null;
    if (draw < never + late) return type.bootUs * LATE_BOOT_FACTOR;
    if (draw < never + late + early) return type.bootUs * EARLY_BOOT_FACTOR;
    return type.bootUs * this.namedRandom.between("boot time", ref, 0.6, 1.5);
  }

  private completeBoot(machine: CloudMachine): void {
    if (machine.phase !== "starting") return;
    machine.phase = "running";
    machine.upAt = this.timeline.now;
    machine.worker = this.startWorker(machine.info, machine.type);
    this.witness.machineUp(machine.info);
  }

  /** Ends a machine: reclaimed by the cloud ("taken"), failed, or deleted on request. */
  take(name: string, why: "deleted" | "taken" | "failed" = "taken"): void {
    const machine = this.machines.get(name);
    if (machine === undefined || machine.phase === "gone") return;
    const { type, zone, spot } = machine.info;
    machine.phase = "gone";
    machine.goneAt = this.timeline.now;
    this.chargedCounts.set(capacityKey(type, zone, spot), this.count(type, zone, spot) - 1);
    this.endedMachines.push(machine);
    const held = this.timeline.now - machine.since;
    const charged = why === "deleted" ? Math.max(held, MIN_CHARGE_US) : held;
    this.charge(machine, charged);
    machine.worker?.end();
    this.witness.machineGone(machine.info, why);
  }

  private charge(machine: CloudMachine, us: number): void {
    const price = machine.info.spot ? machine.type.spotPrice : machine.type.price;
    const cost = (price * us) / HOUR_US;
    this.endedCost += cost;
    this.endedCostByType.set(machine.info.type, (this.endedCostByType.get(machine.info.type) ?? 0) + cost);
  }

  /** Cost so far, including machines that are still rented. */
  spent(): number {
    let sum = this.endedCost;
    for (const machine of this.machines.values()) {
      if (machine.phase === "gone") continue;
      const price = machine.info.spot ? machine.type.spotPrice : machine.type.price;
      sum += (price * (this.timeline.now - machine.since)) / HOUR_US;
    }
    return sum;
  }

  running(): CloudMachine[] {
    return [...this.machines.values()].filter((machine) => machine.phase === "running");
  }
}
