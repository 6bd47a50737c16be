import {
  deleteRequest,
  type ListedMachine,
  type MachineType,
  readListing,
  readRented,
  readTypes,
  rentRequest,
} from "../protocol/cloud.js";
import { formatJson, Malformed, parseJson } from "../protocol/json.js";
import { type Clock, type Micros, ms, sleep } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { RateLimit } from "../transport/rate-limit.js";

/** `refused`: no capacity. `failed`: anything else; a rental may have happened, or may yet. */
export type CloudReply<T> = { readonly kind: "ok"; readonly value: T } | { readonly kind: "refused" | "failed" };

const TIMEOUT = ms(5_000);

export class Cloud {
  private readonly limit: RateLimit;

  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    private readonly clock: Clock,
    private readonly log: Log,
    perSecond: number,
  ) {
    this.limit = new RateLimit(clock, perSecond);
  }

  async types(): Promise<CloudReply<{ types: readonly MachineType[]; raw: unknown }>> {
    return this.call("GET", "/catalog", null, (raw) => ({ types: readTypes(raw), raw }));
  }

  async rent(
    ask: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<CloudReply<readonly string[]>> {
    return this.call("POST", "/hosts", rentRequest(ask, type, zone, spot, count), readRented);
  }

  async delete(names: readonly string[]): Promise<CloudReply<true>> {
    return this.call("POST", "/hosts/delete", deleteRequest(names), () => true as const);
  }

  async list(): Promise<CloudReply<readonly ListedMachine[]>> {
    const all: ListedMachine[] = [];
    for (let from = ""; ; ) {
      const query = from === "" ? "?page=500" : `?from=${from}&page=500`;
      const page = await this.call("GET", `/hosts${query}`, null, readListing);
      if (page.kind !== "ok") return page;
      all.push(...page.value.machines);
      const last = page.value.machines.at(-1);
      if (!page.value.more || last === undefined) return { kind: "ok", value: all };
      from = last.name;
    }
  }

  private async call<T>(
    method: string,
    target: string,
    body: unknown,
    parse: (body: unknown) => T,
  ): Promise<CloudReply<T>> {
    for (let wait = this.limit.waitFor(1); wait > 0; wait = this.limit.waitFor(1))
      await sleep(this.clock, wait as Micros);
    this.limit.take(1);
    const text = body === null ? "" : formatJson(body);
    const outcome = await this.http.call(this.address, { method, target, body: text }, TIMEOUT);
    if (outcome.kind !== "answer") return { kind: "failed" };
    try {
      if (outcome.status === 200) return { kind: "ok", value: parse(parseJson(outcome.body)) };
      if (outcome.status === 503 && outcome.body.includes("no capacity")) return { kind: "refused" };
      if (outcome.status === 429) this.limit.pause(ms(500));
      else if (outcome.status !== 503) throw new Malformed(`status ${outcome.status}`);
    } catch (error) {
      this.log.error("malformed answer of the cloud", { target, error: String(error) });
    }
    return { kind: "failed" };
  }
}
