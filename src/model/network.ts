import type { Clock, Micros } from "../transport/clock.js";
import type { HttpClient, HttpOutcome, HttpRequest, HttpResponse } from "../transport/http.js";
import type { ProcessModel } from "./process-model.js";
import type { Random } from "./random.js";
import { type HostClock, S, type Simulation } from "./simulation.js";

/** A response with a JSON body. */
export const json = (status: number, body: unknown): HttpResponse => ({ status, body: JSON.stringify(body) });

/** Request handler of a host; `from` is the address of the sender. */
export type Serve = (request: HttpRequest, from: string) => Promise<HttpResponse>;

/** An endpoint on the network. */
export interface Host {
  readonly address: string;
  readonly serve: Serve;
  /** Resource model of the host's process; absent or null for unlimited resources. */
  readonly processModel?: ProcessModel | null;
  /** "refusing": no process listens, connections are refused. "silent": no power, requests time out. */
  state: "up" | "refusing" | "silent";
}

/** Network between the hosts of the model: simulated (`Network`) or real sockets (`Loopback`). */
export interface Net {
  /** Allocates an unused address for a machine that boots. */
  address(): string;
  add(host: Host): void;
  /** Removes a host permanently; its address may be reused. */
  remove(host: Host): void;
  client(from: string, clock: Clock): HttpClient;
}

/** A network partition: "hold" delays messages until it ends, "reset" breaks connections. */
interface Partition {
  readonly between: (a: string, b: string) => boolean;
  readonly until: number;
  readonly mode: "hold" | "reset";
}

/** Direction of an exchange that a fault affects: the requests, or the responses to them. */
export type MessageDirection = "requests" | "answers";

interface OneWayLoss {
  readonly from: (address: string) => boolean;
  readonly to: (address: string) => boolean;
  readonly until: number;
  readonly drops: readonly MessageDirection[];
}

/** Delivers some messages after a delay of 0.5 s up to `mostUs`. */
export interface Delays {
  readonly of: (from: string, to: string, request: HttpRequest) => boolean;
  readonly delays: MessageDirection;
  readonly chance: number;
  readonly mostUs: number;
}

/** Delivers duplicates of some requests late, in addition to the requests themselves. */
export interface Duplication {
  /** Selects the requests that may be duplicated. */
  readonly of: (to: string, request: HttpRequest) => boolean;
  readonly chance: number;
  readonly mostLateUs: number;
  readonly until: number;
  /** Destination of a duplicate; the host of the original request by default. */
  readonly at?: (to: string) => string;
}

const MAX_RETAINED = 300;

/** Simulated network with random latency. Messages are lost, held back or duplicated only by injected faults. */
export class Network implements Net {
  private readonly hosts = new Map<string, Host>();
  private partitions: Partition[] = [];
  private oneWayLosses: OneWayLoss[] = [];
  private delays: (Delays & { readonly until: number })[] = [];
  copies: Duplication | null = null;
  /** Selects the requests of which duplicates are retained until `release`. */
  private retention: { readonly of: Duplication["of"]; readonly chance: number; readonly until: number } | null = null;
  /** Retained duplicates with their senders. */
  private retained: { readonly from: string; readonly request: HttpRequest }[] = [];
  private allocated = 0;
  /** Lets a test modify responses, to verify that the invariant checker detects it. */
  tamper: ((from: string, to: string, request: HttpRequest, response: HttpResponse) => HttpResponse) | null = null;

  /** Lets a test modify requests into those of an older program version. */
  rewrite: ((from: string, to: string, request: HttpRequest) => HttpRequest) | null = null;

  /** Called for each request that arrives at a host. */
  onRequest: ((from: string, to: string, request: HttpRequest) => void) | null = null;

  constructor(
    private readonly world: Simulation,
    private readonly random: Random,
  ) {}

  address(): string {
    const at = this.allocated;
    this.allocated += 1;
    return `10.${1 + Math.floor(at / 62_500)}.${Math.floor(at / 250) % 250}.${1 + (at % 250)}:9000`;
  }

  add(host: Host): void {
    this.hosts.set(host.address, host);
  }

  /** Requests to a removed host get no response and time out, as on a real network. */
  remove(host: Host): void {
    this.hosts.delete(host.address);
    for (const { processModel } of this.hosts.values()) processModel?.forget(host.address);
  }

  /** Partitions pairs of hosts in both directions. */
  cut(between: Partition["between"], forUs: number, mode: Partition["mode"]): void {
    this.partitions.push({ between, until: this.world.now + forUs, mode });
  }

  /** Drops messages silently in one direction; the other direction keeps working. */
  lose(loss: Omit<OneWayLoss, "until">, forUs: number): void {
    this.oneWayLosses.push({ ...loss, until: this.world.now + forUs });
  }

  /** Delays a share of the messages by up to `mostUs`. */
  delayMessages(delays: Delays, forUs: number): void {
    this.delays.push({ ...delays, until: this.world.now + forUs });
  }

  private drawExtraDelay(from: string, to: string, request: HttpRequest, what: MessageDirection): number {
    if (this.delays.length === 0) return 0;
    this.delays = this.delays.filter(({ until }) => until > this.world.now);
    const fault = this.delays.find(({ delays, of }) => delays === what && of(from, to, request));
    if (fault === undefined || !this.random.chance(fault.chance)) return 0;
    return this.random.int(S / 2, fault.mostUs);
  }

  private isDropped(from: string, to: string, what: MessageDirection): boolean {
    if (this.oneWayLosses.length === 0) return false;
    this.oneWayLosses = this.oneWayLosses.filter(({ until }) => until > this.world.now);
    return this.oneWayLosses.some((loss) => loss.drops.includes(what) && loss.from(from) && loss.to(to));
  }

  /** Retains or schedules a duplicate of a request if a fault selects it; the response to a duplicate is discarded. */
  private duplicate(from: string, to: string, request: HttpRequest): void {
    const { copies, retention } = this;
    if (retention !== null && this.world.now <= retention.until && retention.of(to, request)) {
      if (this.random.chance(retention.chance) && this.retained.length < MAX_RETAINED)
        this.retained.push({ from, request });
    }
    if (copies === null || this.world.now > copies.until || !copies.of(to, request)) return;
    if (!this.random.chance(copies.chance)) return;
    const at = copies.at?.(to) ?? to;
    this.world.after(this.random.int(S / 1_000, copies.mostLateUs), () => {
      const target = this.hosts.get(at);
      if (target === undefined || target.state !== "up" || this.partitionBetween(from, at) !== undefined) return;
      this.onRequest?.(from, at, request);
      void target.serve(request, from);
    });
  }

  /** Retains duplicates of a share of the selected requests, until `release`. */
  keep(of: Duplication["of"], chance: number, forUs: number): void {
    this.retention = { of, chance, until: this.world.now + forUs };
  }

  /** Delivers all retained duplicates to each host within 0.5 s, in random order; returns the number of deliveries. */
  release(at: readonly string[]): number {
    const { retained } = this;
    this.retained = [];
    for (const { from, request } of retained) {
      for (const to of at) {
        this.world.after(this.random.int(1, S / 2), () => {
          const target = this.hosts.get(to);
          if (target?.state === "up" && this.partitionBetween(from, to) === undefined) void target.serve(request, from);
        });
      }
    }
    return retained.length * at.length;
  }

  private partitionBetween(a: string, b: string): Partition | undefined {
    if (this.partitions.length === 0) return undefined;
    this.partitions = this.partitions.filter((cut) => cut.until > this.world.now);
    return this.partitions.find((cut) => cut.between(a, b) || cut.between(b, a));
  }

  /** The current partition between two hosts; undefined if there is none. */
  cutFor(a: string, b: string): Partition | undefined {
    return this.partitionBetween(a, b);
  }

  /** Draws the latency of a message, in microseconds. */
  travel(): number {
    return this.drawLatency();
  }

  private drawLatency(): number {
    return 300 + this.random.int(0, 1_500);
  }

  client(from: string, clock: HostClock): HttpClient {
    return {
      call: (address, request, timeout) =>
        this.call(from, clock, address, this.rewrite?.(from, address, request) ?? request, timeout),
    };
  }

  private call(
    from: string,
    clock: HostClock,
    to: string,
    request: HttpRequest,
    timeout: Micros,
  ): Promise<HttpOutcome> {
    const processModel = this.hosts.get(from)?.processModel ?? null;
    if (processModel === null) return this.send(from, clock, to, request, timeout);
    const closeConnection = processModel.openOutgoing();
    // The sender has reached its connection limit.
    if (closeConnection === null) return Promise.resolve({ kind: "unsent" });
    return this.send(from, clock, to, request, timeout).then(async (outcome) => {
      closeConnection();
      // The sender reads the response when its processor is available.
      if (processModel.nextSlot > this.world.now)
        await new Promise<void>((resolve) => this.world.at(processModel.nextSlot, resolve));
      return outcome;
    });
  }

  private send(
    from: string,
    clock: HostClock,
    to: string,
    request: HttpRequest,
    timeout: Micros,
  ): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (outcome: HttpOutcome): void => {
        if (settled || clock.dead) return;
        settled = true;
        timer.cancel();
        resolve(outcome);
      };
      const host = this.hosts.get(to);
      // Most requests use a connection that is already open; only those can be held back and delivered late.
      const extraDelay = this.drawExtraDelay(from, to, request, "requests");
      const connectionOpen = extraDelay > 0 || this.random.chance(0.7);
      // A request that has arrived may have been executed, even if its connection was new.
      let arrived = false;
      const timer = clock.after(timeout, () => settle({ kind: connectionOpen || arrived ? "lost" : "unsent" }));
      const arrive = (): void => {
        const cut = this.partitionBetween(from, to);
        if (cut !== undefined) {
          if (!connectionOpen) return;
          if (cut.mode === "hold") this.world.at(cut.until + this.random.int(1, 1_000), arrive);
          else this.world.after(this.drawLatency(), () => settle({ kind: "lost" }));
          return;
        }
        const target = this.hosts.get(to);
        if (target === undefined || target.state === "silent" || this.isDropped(from, to, "requests")) return;
        if (target.state === "refusing") {
          settle({ kind: connectionOpen ? "lost" : "unsent" });
          return;
        }
        arrived = true;
        this.onRequest?.(from, to, request);
        this.duplicate(from, to, request);
        const serve = (done: (close: boolean) => void): void => {
          void target.serve(request, from).then((response) => {
            // Workers close the connection themselves after a redirect (421).
            done(response.close === true || response.status === 421);
            this.reply(from, to, request, response, settle);
          });
        };
        const { processModel } = target;
        if (processModel === undefined || processModel === null) {
          serve(() => undefined);
          return;
        }
        const done = processModel.acceptRequest(from, request.body.length, request.target === "/hello");
        if (done === null) settle({ kind: "unsent" });
        else this.world.at(processModel.nextSlot, () => serve(done));
      };
      if (!connectionOpen && host?.state === "refusing") {
        this.world.after(this.drawLatency(), () => settle({ kind: "unsent" }));
        return;
      }
      this.world.after(this.drawLatency() + extraDelay, arrive);
    });
  }

  private reply(
    from: string,
    to: string,
    request: HttpRequest,
    original: HttpResponse,
    settle: (o: HttpOutcome) => void,
  ): void {
    const response = this.tamper === null ? original : this.tamper(from, to, request, original);
    const arrive = (): void => {
      const cut = this.partitionBetween(from, to);
      if (cut !== undefined) {
        if (cut.mode === "hold") this.world.at(cut.until + this.random.int(1, 1_000), arrive);
        else settle({ kind: "lost" });
        return;
      }
      if (this.isDropped(to, from, "answers")) return;
      settle({
        kind: "answer",
        status: response.status,
        body: response.body,
        retryAfterS: response.retryAfterS ?? null,
      });
    };
    this.world.after(this.drawLatency() + this.drawExtraDelay(from, to, request, "answers"), arrive);
  }
}
