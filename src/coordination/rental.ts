import { factsOf } from "../bookkeeping/events.js";
import { newMachine } from "../bookkeeping/machines.js";
import type { Machine } from "../bookkeeping/picture.js";
import type { ListedMachine } from "../protocol/cloud.js";
import type { JobSpec } from "../protocol/user.js";
import { type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { Cloud } from "./cloud.js";
import { type BlockContext, backOff } from "./context.js";
import { decideEmptying } from "./decisions/emptying.js";
import type { Picture } from "./decisions/picture.js";
import { decideRental, History, type Market, type Option, optionKey, Refusals, type Rent } from "./decisions/rental.js";
import type { Observer } from "./observer.js";
import type { Rounds } from "./rounds.js";

const PLAN_PERIOD = ms(400);
/** Under load, plans and lists are made so much less often. */
const COARSER = 4;
const LIST_PAGE = 500;
const LIST_SHARE = 0.2;
const MAX_ASK = 50;
/** Asks in one go for the same type, zone and kind; the next plan asks for what is still missing. */
const MAX_ASKS = 4;
const MAX_DELETE = 100;
const MOVE_LOOK = seconds(2);
const MOVE_PERIOD = seconds(15);
const NEVER = 0 as Micros;

interface Ask {
  readonly name: string;
  readonly option: Option;
  readonly count: number;
  readonly since: Micros;
}

/** Brings the machines that are present towards those that are wanted. */
export class Rental {
  private readonly asks: Ask[] = [];
  private counter = 0;
  private readonly refusals = new Refusals();
  private readonly history = new History();
  /** Zones that cannot be reached as a whole: nothing is rented there, and room is made elsewhere. */
  cutZones: ReadonlySet<string> = new Set();
  private readonly doomed: Machine[] = [];
  private removing = false;
  private stopped = false;
  private cloudAwaySince: Micros | null = null;
  private listed = false;
  private consolidateAfter: Micros = NEVER;

  constructor(
    private readonly context: BlockContext,
    private readonly cloud: Cloud,
    private readonly rounds: Rounds,
    private readonly observer: Observer,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  learn(spec: JobSpec): void {
    this.history.learn(spec);
  }

  async run(): Promise<void> {
    void this.loop(
      () => this.watchList(),
      () => this.listPeriod(),
    );
    await this.loop(
      () => this.plan(),
      () => PLAN_PERIOD,
    );
  }

  /**
   * Lists take a bounded share of the calls that the cloud allows: with thousands of machines they are several pages
   * long, and read as often as a short one they left rentals in a wave hardly any calls.
   */
  private listPeriod(): Micros {
    const { settings, block } = this.context;
    const pages = 1 + Math.floor(block.machines.size / LIST_PAGE);
    const share = (pages / (settings.cloud.rps * LIST_SHARE)) * 1_000_000;
    return Math.max(seconds(2), settings.cloud.listLag / 2, share) as Micros;
  }

  private async loop(step: () => Promise<void>, period: () => Micros): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.context.lease.valid()) await step();
      } catch (error) {
        this.context.log.error("rental step failed", { error: String(error) });
      }
      const coarse = this.context.overload.atLeast("coarse");
      await sleep(this.context.clock, (coarse ? period() * COARSER : period()) as Micros);
    }
  }

  // What the cloud says -----------------------------------------------------------------------------------

  private async watchList(): Promise<void> {
    const reply = await this.cloud.list();
    if (reply.kind !== "ok" || this.stopped) return;
    const { block, clock, settings } = this.context;
    const names = new Set<string>();
    for (const listed of reply.value) {
      names.add(listed.name);
      if (!block.deleted.has(listed.name)) this.take(listed);
    }
    this.listed = true;
    const now = clock.now();
    for (const machine of [...block.machines.values()]) {
      if (names.has(machine.name) || machine.tasks.size > 0) continue;
      // Absence is weak, so it only ends records that nothing depends on and that nobody has heard of for long.
      const quiet = now - Math.max(machine.lastHeard, machine.rentedAt);
      if (quiet > settings.workers.lease + 4 * settings.cloud.listLag + seconds(20))
        block.machines.delete(machine.name);
    }
    for (const name of block.deleted) if (!names.has(name) && block.deleted.size > 500) block.deleted.delete(name);
  }

  private take(listed: ListedMachine): void {
    const { block, clock, log } = this.context;
    const type = block.types().get(listed.type) ?? null;
    let machine = block.machines.get(listed.name);
    if (machine === undefined) {
      machine = newMachine(listed.name, listed.type, type, listed.zone, listed.spot, clock.now());
      machine.rentedAt = (clock.now() - seconds(listed.ageS)) as Micros;
      block.machines.set(listed.name, machine);
      log.info("machine found", { machine: listed.name, state: listed.state });
    }
    machine.type = type;
    machine.typeName = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.address ??= listed.address;
    if (machine.state === "rumoured") machine.state = "booting";
    // After a handover this finds the machines at once, long before their workers have found us.
    if (listed.state === "running" && machine.state === "booting") this.context.inquire(machine);
    if (listed.state === "failed" && !machine.deleting) {
      log.info("machine failed", { machine: machine.name });
      this.context.sink?.({ kind: "machine failed", ...factsOf(machine) });
      this.observer.lost(machine, "failed");
      void this.remove([machine]);
    }
  }

  /** One call at a time for all that is to go: a call for each few machines left no calls for rentals in a wave. */
  async remove(machines: readonly Machine[]): Promise<void> {
    for (const machine of machines) machine.deleting = true;
    this.doomed.push(...machines);
    if (this.removing) return;
    this.removing = true;
    try {
      // The cloud takes so many names at once; a longer list was refused for ever, and a zone's machines stayed.
      while (this.doomed.length > 0 && !this.stopped) await this.removePart(this.doomed.splice(0, MAX_DELETE));
    } finally {
      this.removing = false;
    }
  }

  /** The answer proves that the machines and all that was on them are gone. */
  private async removePart(machines: readonly Machine[]): Promise<void> {
    const { block, clock, lease, log } = this.context;
    for (let tries = 0; !this.stopped; tries += 1) {
      if (lease.valid()) {
        const reply = await this.cloud.delete(machines.map((machine) => machine.name));
        if (reply.kind === "ok") break;
      }
      await sleep(clock, backOff(tries, ms(500), seconds(5)));
    }
    if (this.stopped) return;
    for (const machine of machines) {
      machine.state = "gone";
      block.deleted.add(machine.name);
      this.context.sink?.({ kind: "machine deleted", ...factsOf(machine) });
      this.observer.lost(machine, "deleted");
      block.machines.delete(machine.name);
    }
    log.info("machines deleted", { machines: machines.map((machine) => machine.name) });
  }

  // Bringing both together --------------------------------------------------------------------------------

  private market(): Market {
    return {
      asked: this.asks,
      refusedUntil: (key) => this.refusals.until(key),
      cutZones: this.cutZones,
      history: this.history,
    };
  }

  private async plan(): Promise<void> {
    if (!this.listed || this.context.block.types().size === 0) return;
    const picture = this.rounds.picture();
    const { rent, back } = decideRental(picture, this.market());
    picture.work.visited += picture.block.machines.size;
    this.rounds.settleWork();
    const { overload } = this.context;
    // Machines beyond what can be carried would only come to be lost.
    if (!overload.atLeast("full")) this.rent(rent);
    if (back.length > 0) void this.remove(back.slice(0, MAX_DELETE).map(({ machine }) => machine));
    if (!overload.atLeast("lean")) this.consolidate(picture);
    await this.settleAsks();
  }

  private rent(wanted: readonly Rent[]): void {
    const { clock, lease } = this.context;
    for (const { option, count } of wanted) {
      for (let left = Math.min(count, MAX_ASK * MAX_ASKS); left > 0; left -= MAX_ASK) {
        this.counter += 1;
        // Never reused: the lease number is fresh at every handover, the counter within it.
        const name = `r-${lease.block}-${lease.number}-${this.counter}`;
        this.asks.push({ name, option, count: Math.min(left, MAX_ASK), since: clock.now() });
      }
    }
  }

  private async settleAsks(): Promise<void> {
    const { lease } = this.context;
    for (const ask of [...this.asks]) {
      if (!lease.valid() || this.stopped) return;
      const { type, zone, spot } = ask.option;
      const reply = await this.cloud.rent(ask.name, type.name, zone, spot, ask.count);
      if (reply.kind === "failed") {
        this.cloudAwaySince ??= this.context.clock.now();
        return;
      }
      if (this.cloudAwaySince !== null) {
        const span = (this.context.clock.now() - this.cloudAwaySince) as Micros;
        this.cloudAwaySince = null;
        this.context.sink?.({ kind: "cloud away", span });
      }
      this.asks.splice(this.asks.indexOf(ask), 1);
      this.rented(ask, reply.kind === "ok" ? reply.value : []);
    }
  }

  private rented(ask: Ask, names: readonly string[]): void {
    const { block, clock, log } = this.context;
    const { type, zone, spot } = ask.option;
    log.info("rented", { ask: ask.name, type: type.name, zone, spot, asked: ask.count, got: names.length });
    for (const name of names) {
      const known = block.machines.get(name);
      if (known !== undefined || block.deleted.has(name)) continue;
      const machine = newMachine(name, type.name, type, zone, spot, clock.now());
      machine.rentedAt = ask.since;
      block.machines.set(name, machine);
    }
    this.refusals.granted(ask.option, ask.count, names.length, clock.now());
    if (names.length >= ask.count) return;
    const span = (this.refusals.until(optionKey(ask.option)) - clock.now()) as Micros;
    this.context.sink?.({ kind: "refused", type: type.name, zone, spot, span });
  }

  private consolidate(picture: Picture): void {
    if (picture.now < this.consolidateAfter) return;
    this.consolidateAfter = (picture.now + MOVE_LOOK) as Micros;
    const machine = decideEmptying(picture, this.history);
    if (machine === null) return;
    machine.drain = "returning";
    this.consolidateAfter = (picture.now + MOVE_PERIOD) as Micros;
    this.context.log.info("machine emptied", { machine: machine.name, tasks: machine.tasks.size });
  }
}
