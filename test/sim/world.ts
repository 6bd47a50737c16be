import type { Clock, Micros, Timer } from "../../src/transport/clock.js";
import type { HttpClient, Outcome, Request, Response } from "../../src/transport/http.js";
import type { Random } from "../random.js";

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** True time of the simulated world, and its queue of events (a binary heap). */
export class World {
  now = 0;
  private order = 0;
  private readonly heap: Event[] = [];

  at(time: number, run: () => void): Timer {
    const event: Event = { at: Math.max(time, this.now), order: this.order++, run, cancelled: false };
    this.push(event);
    return {
      cancel: () => {
        event.cancelled = true;
      },
    };
  }

  after(delay: number, run: () => void): Timer {
    return this.at(this.now + delay, run);
  }

  /** Runs until `end`; after each event everything that it caused at once has happened, then `check` looks. */
  async run(end: number, check: () => void): Promise<void> {
    for (let event = this.heap[0]; event !== undefined && event.at <= end; event = this.heap[0]) {
      this.pop();
      if (event.cancelled) continue;
      this.now = event.at;
      event.run();
      await new Promise((resolve) => setImmediate(resolve));
      check();
    }
    this.now = end;
  }

  private before(a: Event | undefined, b: Event | undefined): boolean {
    if (a === undefined || b === undefined) return false;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(i: number, j: number): void {
    const [a, b] = [this.heap[i], this.heap[j]];
    if (a === undefined || b === undefined) return;
    this.heap[i] = b;
    this.heap[j] = a;
  }

  private push(event: Event): void {
    this.heap.push(event);
    for (let at = this.heap.length - 1; at > 0; ) {
      const parent = (at - 1) >> 1;
      if (!this.before(this.heap[at], this.heap[parent])) break;
      this.swap(at, parent);
      at = parent;
    }
  }

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    for (let at = 0; ; ) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2]) if (this.before(this.heap[child], this.heap[least])) least = child;
      if (least === at) break;
      this.swap(at, least);
      at = least;
    }
  }
}

/** A host's steady clock: runs a little fast or slow, and dies with the host. */
export class HostClock implements Clock {
  dead = false;

  constructor(
    private readonly world: World,
    private readonly rate: number,
    private readonly offset: number,
  ) {}

  now(): Micros {
    return Math.floor(this.world.now * this.rate + this.offset) as Micros;
  }

  after(delay: Micros, run: () => void): Timer {
    return this.world.after(Math.max(0, delay) / this.rate, () => {
      if (!this.dead) run();
    });
  }
}

export type Serve = (request: Request, from: string) => Promise<Response>;

export interface Host {
  readonly address: string;
  readonly serve: Serve;
  /** Refuses connections (no process) or hangs (no power). */
  state: "up" | "refusing" | "silent";
}

interface Cut {
  readonly between: (a: string, b: string) => boolean;
  readonly until: number;
  readonly mode: "hold" | "reset";
}

/** Delays, loses nothing by itself; cuts hold messages back or reset connections. */
export class Network {
  private readonly hosts = new Map<string, Host>();
  private cuts: Cut[] = [];
  /** Lets a test change what is said, to see that the checker notices. */
  tamper: ((from: string, to: string, request: Request, response: Response) => Response) | null = null;

  onRequest: ((from: string, to: string, request: Request) => void) | null = null;

  constructor(
    private readonly world: World,
    private readonly random: Random,
  ) {}

  add(host: Host): void {
    this.hosts.set(host.address, host);
  }

  cut(between: Cut["between"], forUs: number, mode: Cut["mode"]): void {
    this.cuts.push({ between, until: this.world.now + forUs, mode });
  }

  private cutBetween(a: string, b: string): Cut | undefined {
    this.cuts = this.cuts.filter((cut) => cut.until > this.world.now);
    return this.cuts.find((cut) => cut.between(a, b) || cut.between(b, a));
  }

  private delay(): number {
    return 300 + this.random.int(0, 1_500);
  }

  client(from: string, clock: HostClock): HttpClient {
    return { call: (address, request, timeout) => this.call(from, clock, address, request, timeout) };
  }

  private call(from: string, clock: HostClock, to: string, request: Request, timeout: Micros): Promise<Outcome> {
    return new Promise((resolve) => {
      let settled = false;
      const settle = (outcome: Outcome): void => {
        if (settled || clock.dead) return;
        settled = true;
        timer.cancel();
        resolve(outcome);
      };
      const host = this.hosts.get(to);
      // Most requests travel on a connection that is open already; those can be held back and land late.
      const open = this.random.chance(0.7);
      const timer = clock.after(timeout, () => settle({ kind: open ? "lost" : "unsent" }));
      const arrive = (): void => {
        const cut = this.cutBetween(from, to);
        if (cut !== undefined) {
          if (!open) return;
          if (cut.mode === "hold") this.world.at(cut.until + this.random.int(1, 1_000), arrive);
          else this.world.after(this.delay(), () => settle({ kind: "lost" }));
          return;
        }
        const target = this.hosts.get(to);
        if (target === undefined || target.state === "silent") return;
        if (target.state === "refusing") {
          settle({ kind: open ? "lost" : "unsent" });
          return;
        }
        this.onRequest?.(from, to, request);
        void target.serve(request, from).then((response) => this.reply(from, to, request, response, settle));
      };
      if (!open && (host === undefined || host.state !== "up") && host?.state === "refusing") {
        this.world.after(this.delay(), () => settle({ kind: "unsent" }));
        return;
      }
      this.world.after(this.delay(), arrive);
    });
  }

  private reply(from: string, to: string, request: Request, given: Response, settle: (o: Outcome) => void): void {
    const response = this.tamper === null ? given : this.tamper(from, to, request, given);
    const arrive = (): void => {
      const cut = this.cutBetween(from, to);
      if (cut !== undefined) {
        if (cut.mode === "hold") this.world.at(cut.until + this.random.int(1, 1_000), arrive);
        else settle({ kind: "lost" });
        return;
      }
      settle({
        kind: "answer",
        status: response.status,
        body: response.body,
        retryAfterS: response.retryAfterS ?? null,
      });
    };
    this.world.after(this.delay(), arrive);
  }
}

export const S = 1_000_000;
export const json = (status: number, body: unknown): Response => ({ status, body: JSON.stringify(body) });
