/** One controller: wires its services, routes requests to their handlers and leads the shards assigned to it. */

import type { Job } from "../../cluster/job.js";
import { decodeMachineTypes, type MachineType } from "../../protocol/cloud.js";
import { formatJson, MalformedMessageError } from "../../protocol/json.js";
import { encodeLinks } from "../../protocol/links.js";
import { decodeHeartbeatText, encodeHeartbeatResponse, encodeRedirect, type Heartbeat } from "../../protocol/worker.js";
import type { OperatorOptions } from "../../settings/options.js";
import type { Settings } from "../../settings/settings.js";
import { MACHINE_TYPES_KEY, shardOf } from "../../storage/keys.js";
import { type Micros, seconds, sleep } from "../../transport/clock.js";
import type { HttpRequest, HttpResponse } from "../../transport/http.js";
import { describeError } from "../../transport/log.js";
import { JobApi } from "../api/job-api.js";
import { CloudClient } from "../autoscaling/cloud-client.js";
import type { Services, ShardLease } from "../context.js";
import type { Extension } from "../extension.js";
import { LogEvent } from "../log-events.js";
import { LOAD_LEVELS } from "../overload/load-shedder.js";
import type { ControllerEnvironment } from "./controller-environment.js";
import { createServices } from "./controller-services.js";
import { Membership } from "./membership.js";
import type { MeshPort } from "./mesh-port.js";
import { ShardLeader } from "./shard-leader.js";

/** A controller process without its sockets; started by `main` and by the simulated clusters of the tests. */
export class Controller {
  private readonly services: Services;
  private readonly machineTypes = new Map<string, MachineType>();
  private readonly cloud: CloudClient;
  private readonly membership: Membership;
  private readonly jobApi: JobApi;
  private readonly shardLeaders = new Map<number, ShardLeader>();
  private readonly extension: Extension | null;
  private readonly mesh: MeshPort | null;

  constructor(environment: ControllerEnvironment, settings: Settings, options: OperatorOptions, incarnation: string) {
    const { clock, log } = environment;
    this.mesh =
      environment.mesh?.({
        loadLevel: () => LOAD_LEVELS.indexOf(this.services.loadShedder.level),
        leadership: () => this.leadership(),
        handleHeartbeat: async (request, relayPeer) => this.handleHeartbeat(request.body, relayPeer),
      }) ?? null;
    const http = this.mesh?.client ?? environment.http;
    this.services = createServices({
      environment,
      settings,
      options,
      http,
      workerPathChangedAt: () => this.mesh?.workerPathChangedAt ?? null,
    });
    const { cache, dependencies } = this.services;
    this.cloud = new CloudClient(http, settings.cloudAddress, clock, log, settings.cloud.requestsPerS * 0.8);
    this.extension = environment.extension?.(this.services, this.machineTypes) ?? null;
    this.membership = new Membership(this.services, incarnation, {
      shardAcquired: (lease) => this.acquireShard(lease),
      shardReleased: (shard) => this.releaseShard(shard),
    });
    this.jobApi = new JobApi(this.services, this.machineTypes, {
      taskCounts: (id) => {
        for (const leader of this.shardLeaders.values()) {
          const counts = leader.taskCounts(id);
          if (counts !== null) return counts;
        }
        return null;
      },
      isLeader: () => this.shardLeaders.size > 0,
      isCancelledIndirectly: (spec) =>
        dependencies.isCancelled(spec.id) || this.extension?.isCancelledWithRun(spec) === true,
    });
    dependencies.onCancelledByDependency = (id) => {
      for (const leader of this.shardLeaders.values()) leader.cancelByDependency(id);
    };
    dependencies.onReady = (id) => {
      for (const leader of this.shardLeaders.values()) leader.jobReady(id);
    };
    cache.onChangeBeforeOthers((change) => this.jobApi.dependencyResolver.onChange(change));
    cache.onChange((change) => {
      if (change.key === MACHINE_TYPES_KEY && change.kind === "put") this.applyMachineTypes(change.value);
      for (const leader of this.shardLeaders.values()) leader.onChange(change);
    });
  }

  /** The numbers of machines and unfinished tasks in memory for the shards that this controller leads. */
  get leadershipSize(): { readonly machines: number; readonly tasks: number } {
    const sum = { machines: 0, tasks: 0 };
    for (const leader of this.shardLeaders.values()) {
      const { machines, tasks } = leader.size;
      sum.machines += machines;
      sum.tasks += tasks;
    }
    return sum;
  }

  /** The scheduling priority of a job in a shard that this controller leads; null: no such current job. */
  findJob(id: string): Pick<Job, "effectiveRank" | "effectiveDeadline" | "awaitingDependencies"> | null {
    for (const leader of this.shardLeaders.values()) {
      const job = leader.findJob(id);
      if (job !== null) return job;
    }
    return null;
  }

  /** Starts the background loops; an error that ends one of them is logged. */
  start(): void {
    const { cache, log } = this.services;
    const runInBackground = (name: string, work: Promise<unknown>): void => {
      work.catch((error: unknown) => log.error(LogEvent.LoopFailed, { name, error: describeError(error) }));
    };
    this.mesh?.start();
    runInBackground("watch cache", cache.run());
    runInBackground("membership", this.membership.run());
    runInBackground("machine types", this.fetchMachineTypes());
    runInBackground("dependency outcomes", this.jobApi.dependencyResolver.run());
  }

  /** Handles a request of a worker, user or operator. */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    if (request.target === "/hello") {
      if (request.method !== "POST") return { status: 405, body: "{}" };
      return (await this.relayToLeader(request)) ?? this.handleHeartbeat(request.body, null);
    }
    if (request.target === "/links") {
      const fleets = [...this.shardLeaders.values()].map(({ fleetHealth }) => fleetHealth);
      return { status: 200, body: formatJson(encodeLinks(this.mesh?.linkTable() ?? null, fleets[0] ?? null)) };
    }
    return this.extension?.handle(request) ?? this.jobApi.handle(request);
  }

  /**
   * Relays the heartbeat to the shard leader if the workers cannot reach it directly, but this controller can.
   * Null: not relayed.
   */
  private async relayToLeader(request: HttpRequest): Promise<HttpResponse | null> {
    if (this.mesh === null || this.shardLeaders.size > 0) return null;
    // There is a single shard; with several, the machine's name determines the shard (`shardOf`).
    const leader = this.membership.leaderOf(0);
    if (leader === null || leader === this.services.settings.label) return null;
    return this.mesh.forwardHeartbeat(leader, request);
  }

  /** Up machines in the shards led here, and when the latest shard was acquired; null: no shard is led here. */
  private leadership(): { machines: number; since: Micros } | null {
    if (this.shardLeaders.size === 0) return null;
    let machines = 0;
    let since = 0 as Micros;
    for (const { upMachines, acquiredAt } of this.shardLeaders.values()) {
      machines += upMachines;
      since = Math.max(since, acquiredAt) as Micros;
    }
    return { machines, since };
  }

  /** `relayPeer`: the peer that relayed the heartbeat; null: received directly from the worker. */
  private async handleHeartbeat(body: string, relayPeer: string | null): Promise<HttpResponse> {
    let heartbeat: Heartbeat;
    try {
      heartbeat = decodeHeartbeatText(
        body,
        (machine) => this.shardLeaders.get(shardOf(machine))?.knownTaskListOf(machine) ?? null,
      );
    } catch (error) {
      if (error instanceof MalformedMessageError || error instanceof SyntaxError) {
        this.services.log.error(LogEvent.HeartbeatMalformed, { error: error.message });
        return { status: 400, body: '{"error":"malformed report"}' };
      }
      throw error;
    }
    const shard = shardOf(heartbeat.machine);
    const leader = this.shardLeaders.get(shard);
    if (leader === undefined) {
      const label = this.membership.leaderOf(shard);
      const otherLeader = label === this.services.settings.label ? null : label;
      return { status: 421, body: formatJson(encodeRedirect(otherLeader)) };
    }
    if (relayPeer === null) this.mesh?.recordDirectHeartbeat(heartbeat.address);
    else this.mesh?.recordRelayedHeartbeat(heartbeat.address, relayPeer);
    // No long poll for a relayed heartbeat: the relaying peer times out sooner than a worker does.
    const reply = await leader.handleHeartbeat(heartbeat, relayPeer === null);
    if (reply === null) return { status: 503, body: "{}" };
    return { status: 200, body: formatJson(encodeHeartbeatResponse(reply.token, reply.commands)) };
  }

  private acquireShard(lease: ShardLease): void {
    const { membership } = this;
    const leader = new ShardLeader({
      services: this.services,
      lease,
      cloud: this.cloud,
      machineTypes: this.machineTypes,
      extension: this.extension,
      events: {
        onFenced: () => membership.release(lease.shard),
        onInconsistent: () => membership.resign(),
        onUnreachable: () => membership.transferLeadership(),
      },
    });
    this.shardLeaders.set(lease.shard, leader);
  }

  private releaseShard(shard: number): void {
    this.services.log.info(LogEvent.ShardReleased, { shard });
    this.shardLeaders.get(shard)?.stop();
    this.shardLeaders.delete(shard);
  }

  private applyMachineTypes(raw: unknown): void {
    try {
      const types = decodeMachineTypes(raw);
      if (this.machineTypes.size === 0) for (const type of types) this.machineTypes.set(type.name, type);
    } catch (error) {
      this.services.log.error(LogEvent.MachineTypesRecordMalformed, { error: String(error) });
    }
  }

  private async fetchMachineTypes(): Promise<void> {
    const { clock, cache } = this.services;
    // Once the cache is loaded, a recorded list makes the cloud request at each restart unnecessary.
    while (!cache.loaded) await sleep(clock, seconds(0.05));
    while (this.machineTypes.size === 0) {
      const reply = await this.cloud.listMachineTypes();
      if (reply.kind === "ok") this.applyMachineTypes(reply.value.raw);
      else await sleep(clock, seconds(1 + this.services.random()));
    }
  }
}
