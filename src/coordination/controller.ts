import { Chains } from "../bookkeeping/chains.js";
import { Committer } from "../bookkeeping/committer.js";
import type { Sink } from "../bookkeeping/events.js";
import type { Job } from "../bookkeeping/picture.js";
import { CURRENT, homeBlock, TYPES_KEY } from "../bookkeeping/records.js";
import { Store } from "../bookkeeping/store.js";
import { FOLLOW_SHARE, gapFor, SYNC_SHARE, View } from "../bookkeeping/view.js";
import { type MachineType, readTypes } from "../protocol/cloud.js";
import { formatJson, Malformed } from "../protocol/json.js";
import { type LinkTable, linksAnswer } from "../protocol/links.js";
import { type Report, readReportText, redirectAnswer, reportAnswer } from "../protocol/worker.js";
import type { Options } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import { type Clock, type Micros, seconds, sleep } from "../transport/clock.js";
import type { HttpClient, Request, Response } from "../transport/http.js";
import { describeError, type Log } from "../transport/log.js";
import { Cloud } from "./cloud.js";
import type { BlockLease, Services } from "./context.js";
import type { Extension, MakeExtension } from "./extension.js";
import { FrontDoor } from "./front-door.js";
import { Membership } from "./membership.js";
import { LEVELS, type LoadSource, Overload } from "./overload.js";
import { Steward } from "./steward.js";

/**
 * Both limits of the state service are shared by all controllers, whose shares of the work differ: nearly all writes
 * are the holder's, which with less than this had its starts wait while a third of the budget was left.
 */
const SHARE = 0.7;
const WRITE_SHARE = 0.85;

export interface Outside {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly random: () => number;
  /** Told what happens on the site, where this controller holds it. */
  readonly sink?: Sink;
  /** Time of day in milliseconds, true within the bound of the settings. */
  readonly wall?: () => number;
  /** How near this process is to its limits, where that can be read. */
  readonly load?: LoadSource;
  /** Told how many machines and tasks each round and plan looked at. */
  readonly spent?: (looks: number) => void;
  /** What makes jobs of its own, where that is switched on. */
  readonly extension?: MakeExtension | null;
  /** Connections to the other controllers, where these are switched on. */
  readonly mesh?: MakeMesh | null;
}

/** What the controller makes use of where it has a mesh. */
export interface MeshPort {
  readonly client: HttpClient;
  start(): void;
  heardWorker(address: string): void;
  heardThrough(address: string, peer: string): void;
  carryReport(holder: string, request: Request): Promise<Response | null>;
  table(): LinkTable;
  readonly deafChangedAt: Micros | null;
}

export interface MeshAround {
  readonly level: () => number;
  readonly holding: () => { readonly machines: number; readonly since: Micros } | null;
  readonly report: (request: Request, through: string) => Promise<Response>;
}

export type MakeMesh = (around: MeshAround) => MeshPort;

/** One controller: what `main` and the simulated clusters of the tests both start. */
export class Controller {
  private readonly services: Services;
  private readonly types = new Map<string, MachineType>();
  private readonly cloud: Cloud;
  private readonly membership: Membership;
  private readonly frontDoor: FrontDoor;
  private readonly stewards = new Map<number, Steward>();
  private readonly extension: Extension | null;
  private readonly mesh: MeshPort | null;

  constructor(outside: Outside, settings: Settings, options: Options, incarnation: string) {
    const { clock, log, random } = outside;
    this.mesh =
      outside.mesh?.({
        level: () => LEVELS.indexOf(this.services.overload.level),
        holding: () => this.heldMachines(),
        report: async (request, through) => this.hello(request.body, through),
      }) ?? null;
    const http = this.mesh?.client ?? outside.http;
    const store = new Store(
      http,
      settings.stateAddress,
      clock,
      log,
      {
        requestsPerS: settings.state.rps * SHARE,
        writesPerS: settings.state.writeRps * WRITE_SHARE,
        writesPerTransaction: settings.state.transactionWrites,
        valueBytes: settings.state.valueBytes,
      },
      random,
    );
    const overload = new Overload(clock, log, outside.load ?? null);
    const { rps } = settings.state;
    const view = new View(
      store,
      CURRENT,
      clock,
      log,
      gapFor(FOLLOW_SHARE, rps, settings.controllers),
      gapFor(SYNC_SHARE, rps, settings.controllers),
      // Polls may lag by seconds: under load they share longer intervals.
      () => (overload.atLeast("coarse") ? 5 : overload.atLeast("lean") ? 2 : 1),
    );
    const committer = new Committer(store, clock, random);
    const sink = outside.sink ?? null;
    const spent = outside.spent ?? null;
    const wall = outside.wall ?? null;
    const own = { clock, log, http, random, wall, deafChangedAt: () => this.mesh?.deafChangedAt ?? null };
    const chains = new Chains();
    this.services = { ...own, settings, options, store, committer, view, chains, sink, overload, spent };
    this.cloud = new Cloud(http, settings.cloudAddress, clock, log, settings.cloud.rps * 0.8);
    this.extension = outside.extension?.(this.services, this.types) ?? null;
    this.membership = new Membership(this.services, incarnation, {
      taken: (lease) => this.take(lease),
      dropped: (block) => this.drop(block),
    });
    this.frontDoor = new FrontDoor(this.services, this.types, {
      running: (id) => {
        for (const steward of this.stewards.values()) {
          const counts = steward.running(id);
          if (counts !== null) return counts;
        }
        return null;
      },
      holds: () => this.stewards.size > 0,
      withdrawn: (spec) => chains.isWithdrawn(spec.id) || this.extension?.withdrawn(spec) === true,
    });
    chains.onWithdrawn = (id) => {
      for (const steward of this.stewards.values()) steward.withdrawn(id);
    };
    chains.onMayBegin = (id) => {
      for (const steward of this.stewards.values()) steward.mayBegin(id);
    };
    view.onChangeBefore((change) => this.frontDoor.awaited.changed(change));
    view.onChange((change) => {
      if (change.key === TYPES_KEY && change.kind === "put") this.learnTypes(change.value);
      for (const steward of this.stewards.values()) steward.changed(change);
    });
  }

  /** Of the blocks held here, what is kept in memory. */
  get holding(): { readonly machines: number; readonly tasks: number } {
    const sum = { machines: 0, tasks: 0 };
    for (const steward of this.stewards.values()) {
      const { machines, tasks } = steward.size;
      sum.machines += machines;
      sum.tasks += tasks;
    }
    return sum;
  }

  /** A job of a block held here, as far as its place in the order goes. */
  jobAt(id: string): Pick<Job, "rank" | "dueAt" | "blocked"> | null {
    for (const steward of this.stewards.values()) {
      const job = steward.jobAt(id);
      if (job !== null) return job;
    }
    return null;
  }

  start(): void {
    const { view, log } = this.services;
    const keep = (name: string, work: Promise<unknown>): void => {
      work.catch((error: unknown) => log.error("loop ended", { name, error: describeError(error) }));
    };
    this.mesh?.start();
    keep("view", view.follow());
    keep("membership", this.membership.run());
    keep("types", this.fetchTypes());
    keep("last words", this.frontDoor.awaited.follow());
  }

  async handle(request: Request): Promise<Response> {
    if (request.target === "/hello") {
      if (request.method !== "POST") return { status: 405, body: "{}" };
      return (await this.carried(request)) ?? this.hello(request.body, null);
    }
    if (request.target === "/links") {
      const machines = [...this.stewards.values()].map(({ standing }) => standing);
      return { status: 200, body: formatJson(linksAnswer(this.mesh?.table() ?? null, machines[0] ?? null)) };
    }
    return this.extension?.handle(request) ?? this.frontDoor.handle(request);
  }

  /** The holder hears no worker itself, but can be reached from here: it answers through us. */
  private async carried(request: Request): Promise<Response | null> {
    if (this.mesh === null || this.stewards.size > 0) return null;
    // There is one block; with several, the machine's name tells whose it is.
    const holder = this.membership.holder(0);
    if (holder === null || holder === this.services.settings.label) return null;
    return this.mesh.carryReport(holder, request);
  }

  private heldMachines(): { machines: number; since: Micros } | null {
    if (this.stewards.size === 0) return null;
    let machines = 0;
    let since = 0 as Micros;
    for (const { upMachines, takenAt } of this.stewards.values()) {
      machines += upMachines;
      since = Math.max(since, takenAt) as Micros;
    }
    return { machines, since };
  }

  /** `through`: the sibling that it came to; null: it came here. */
  private hello(body: string, through: string | null): Response {
    let report: Report;
    try {
      report = readReportText(body, (machine) => this.stewards.get(homeBlock(machine))?.listingOf(machine) ?? null);
    } catch (error) {
      if (error instanceof Malformed || error instanceof SyntaxError) {
        this.services.log.error("malformed report", { error: error.message });
        return { status: 400, body: '{"error":"malformed report"}' };
      }
      throw error;
    }
    const block = homeBlock(report.machine);
    const steward = this.stewards.get(block);
    if (steward === undefined) {
      const holder = this.membership.holder(block);
      const elsewhere = holder === this.services.settings.label ? null : holder;
      return { status: 421, body: formatJson(redirectAnswer(elsewhere)) };
    }
    if (through === null) this.mesh?.heardWorker(report.address);
    else this.mesh?.heardThrough(report.address, through);
    const answer = steward.report(report);
    if (answer === null) return { status: 503, body: "{}" };
    return { status: 200, body: formatJson(reportAnswer(answer.token, answer.commands)) };
  }

  private take(lease: BlockLease): void {
    const { membership } = this;
    const steward = new Steward(
      this.services,
      lease,
      this.cloud,
      this.types,
      () => membership.drop(lease.block),
      () => membership.resign(),
      () => membership.handOver(),
      this.extension,
    );
    this.stewards.set(lease.block, steward);
  }

  private drop(block: number): void {
    this.services.log.info("block dropped", { block });
    this.stewards.get(block)?.stop();
    this.stewards.delete(block);
  }

  private learnTypes(raw: unknown): void {
    try {
      const types = readTypes(raw);
      if (this.types.size === 0) for (const type of types) this.types.set(type.name, type);
    } catch (error) {
      this.services.log.error("malformed types on record", { error: String(error) });
    }
  }

  private async fetchTypes(): Promise<void> {
    const { clock, view } = this.services;
    // The record spares the cloud a question at every restart.
    while (!view.loaded) await sleep(clock, seconds(0.05));
    while (this.types.size === 0) {
      const reply = await this.cloud.types();
      if (reply.kind === "ok") this.learnTypes(reply.value.raw);
      else await sleep(clock, seconds(1 + this.services.random()));
    }
  }
}
