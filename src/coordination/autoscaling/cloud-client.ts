/**
 * Client of the cloud's HTTP interface.
 * @module
 */
import {
  decodeMachineList,
  decodeMachineTypes,
  decodeProvisionedNames,
  encodeDeletionRequest,
  encodeProvisioningRequest,
  type ListedMachine,
  type MachineType,
} from "../../protocol/cloud.js";
import { formatJson, MalformedMessageError, parseJson } from "../../protocol/json.js";
import { type Clock, type Micros, ms, sleep } from "../../transport/clock.js";
import type { HttpClient } from "../../transport/http.js";
import type { Log } from "../../transport/log.js";
import { RateLimiter } from "../../transport/rate-limiter.js";
import { LogEvent } from "../log-events.js";

/** `refused`: no capacity. `failed`: any other failure; the request may have been executed, or may still be. */
export type CloudResult<T> = { readonly kind: "ok"; readonly value: T } | { readonly kind: "refused" | "failed" };

const REQUEST_TIMEOUT = ms(5_000);

/** Sends requests to the cloud within `perSecond` requests per second. Failures are returned, not thrown. */
export class CloudClient {
  private readonly requestLimit: RateLimiter;

  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    private readonly clock: Clock,
    private readonly log: Log,
    perSecond: number,
  ) {
    this.requestLimit = new RateLimiter(clock, perSecond);
  }

  /** The machine types on offer, decoded and as received. */
  async listMachineTypes(): Promise<CloudResult<{ types: readonly MachineType[]; raw: unknown }>> {
    return this.request("GET", "/catalog", null, (raw) => ({ types: decodeMachineTypes(raw), raw }));
  }

  /** Requests `count` machines; returns the names of those granted, possibly fewer. Idempotent by `requestName`. */
  async provision(
    requestName: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<CloudResult<readonly string[]>> {
    return this.request(
      "POST",
      "/hosts",
      encodeProvisioningRequest(requestName, type, zone, spot, count),
      decodeProvisionedNames,
    );
  }

  /** Deletes the machines. `ok` confirms that they and all their tasks are gone. */
  async deleteMachines(names: readonly string[]): Promise<CloudResult<true>> {
    return this.request("POST", "/hosts/delete", encodeDeletionRequest(names), () => true as const);
  }

  /** Reads all pages of the machine list; fails if any page fails. */
  async listMachines(): Promise<CloudResult<readonly ListedMachine[]>> {
    const all: ListedMachine[] = [];
    for (let from = ""; ; ) {
      const query = from === "" ? "?page=500" : `?from=${from}&page=500`;
      const page = await this.request("GET", `/hosts${query}`, null, decodeMachineList);
      if (page.kind !== "ok") return page;
      all.push(...page.value.machines);
      const last = page.value.machines.at(-1);
      if (!page.value.more || last === undefined) return { kind: "ok", value: all };
      from = last.name;
    }
  }

  private async request<T>(
    method: string,
    target: string,
    body: unknown,
    parse: (body: unknown) => T,
  ): Promise<CloudResult<T>> {
    for (let wait = this.requestLimit.timeUntilAvailable(1); wait > 0; wait = this.requestLimit.timeUntilAvailable(1))
      await sleep(this.clock, wait as Micros);
    this.requestLimit.take(1);
    const text = body === null ? "" : formatJson(body);
    const outcome = await this.http.call(this.address, { method, target, body: text }, REQUEST_TIMEOUT);
    if (outcome.kind !== "answer") return { kind: "failed" };
    try {
      if (outcome.status === 200) return { kind: "ok", value: parse(parseJson(outcome.body)) };
      if (outcome.status === 503 && outcome.body.includes("no capacity")) return { kind: "refused" };
      if (outcome.status === 429) this.requestLimit.backOff(ms(500));
      else if (outcome.status !== 503) throw new MalformedMessageError(`unexpected HTTP status ${outcome.status}`);
    } catch (error) {
      this.log.error(LogEvent.CloudResponseMalformed, { target, error: String(error) });
    }
    return { kind: "failed" };
  }
}
