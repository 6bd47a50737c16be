/** One controller: wires its services, hands requests to their handlers and leads the shards that it holds. */

import { DependencyGraph } from "../../cluster/dependency-graph.js";
import type { ClusterEventListener } from "../../cluster/events.js";
import type { Job } from "../../cluster/job.js";
import { decodeMachineTypes, type MachineType } from "../../protocol/cloud.js";
import { formatJson, MalformedMessageError } from "../../protocol/json.js";
import { encodeLinks, type LinkTable } from "../../protocol/links.js";
import { decodeHeartbeatText, encodeHeartbeatResponse, encodeRedirect, type Heartbeat } from "../../protocol/worker.js";
import type { OperatorOptions } from "../../settings/options.js";
import type { Settings } from "../../settings/settings.js";
import { KeyValueStore } from "../../storage/key-value-store.js";
import { CURRENT_PREFIX, MACHINE_TYPES_KEY, shardOf } from "../../storage/keys.js";
import { TransactionBatcher } from "../../storage/transaction-batcher.js";
import { requestInterval, SYNC_REQUEST_SHARE, WATCH_REQUEST_SHARE, WatchCache } from "../../storage/watch-cache.js";
import { type Clock, type Micros, seconds, sleep } from "../../transport/clock.js";
import type { HttpClient, HttpRequest, HttpResponse } from "../../transport/http.js";
import { describeError, type Log } from "../../transport/log.js";
import { JobApi } from "../api/job-api.js";
import { CloudClient } from "../autoscaling/cloud-client.js";
import type { Services, ShardLease } from "../context.js";
import type { Extension, ExtensionFactory } from "../extension.js";
import { LogEvent } from "../log-events.js";
import { LOAD_LEVELS, LoadShedder, type LoadSource } from "../overload/load-shedder.js";
import { Membership } from "./membership.js";
import { ShardLeader } from "./shard-leader.js";

/**
 * Both limits of the state service are shared by all controllers, whose shares of the work differ: nearly all writes
 * are the holder's, which with less than this had its starts wait while a third of the budget was left.
 */
const REQUEST_SHARE = 0.7;
const WRITE_SHARE = 0.85;

/** What a controller runs on: clock, network, randomness, and what is optional. */
export interface ControllerEnvironment {
  readonly clock: Clock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly random: () => number;
  /** Told what happens on the site, where this controller holds it. */
  readonly eventListener?: ClusterEventListener;
  /** Time of day in milliseconds, true within the bound of the settings. */
  readonly wallClock?: () => number;
  /** How near this process is to its limits, where that can be read. */
  readonly load?: LoadSource;
  /** Told how many machines and tasks each round and plan looked at. */
  readonly onInspected?: (looks: number) => void;
  /** What makes jobs of its own, where that is switched on. */
  readonly extension?: ExtensionFactory | null;
  /** Connections to the other controllers, where these are switched on. */
  readonly mesh?: MeshFactory | null;
}

/** The mesh as the controller uses it. */
export interface MeshPort {
  /** Calls over the direct link, or through a peer where that link fails. */
  readonly client: HttpClient;
  /** When the workers were last found to be cut off from here, or reachable again; null: never. */
  readonly workerPathChangedAt: Micros | null;
  start(): void;
  /** The heartbeat of a worker that is led here has come over a direct link. */
  recordDirectHeartbeat(address: string): void;
  /** The heartbeat of a worker that is led here has come through a peer. */
  recordRelayedHeartbeat(address: string, peer: string): void;
  /** The leader's response to a worker's heartbeat that came here; null: redirect the worker to the leader. */
  relayHeartbeat(leader: string, request: HttpRequest): Promise<HttpResponse | null>;
  /** Status of all links, for operators. */
  linkTable(): LinkTable;
}

/** What the mesh asks of the controller. */
export interface MeshCallbacks {
  /** 0 (normal) to 3 (saturated). */
  readonly loadLevel: () => number;
  /** Machines led here that are up, and when the latest shard was acquired; null: no shard is led here. */
  readonly leadership: () => { readonly machines: number; readonly since: Micros } | null;
  /** Handles a worker's heartbeat that came through the peer `relayPeer`. */
  readonly handleHeartbeat: (request: HttpRequest, relayPeer: string) => Promise<HttpResponse>;
}

/** Makes the mesh of one controller. */
export type MeshFactory = (callbacks: MeshCallbacks) => MeshPort;

/** One controller: what `main` and the simulated clusters of the tests both start. */
export class Controller {
  private readonly services: Services;
  private readonly machineTypes = new Map<string, MachineType>();
  private readonly cloud: CloudClient;
  private readonly membership: Membership;
  private readonly jobApi: JobApi;
  private readonly shardLeaders = new Map<number, ShardLeader>();
  private readonly extension: Extension | null;
  private readonly mesh: MeshPort | null;

  constructor(outside: ControllerEnvironment, settings: Settings, options: OperatorOptions, incarnation: string) {
    const { clock, log, random } = outside;
    this.mesh =
      outside.mesh?.({
        loadLevel: () => LOAD_LEVELS.indexOf(this.services.loadShedder.level),
        leadership: () => this.leadership(),
        handleHeartbeat: async (request, through) => this.handleHeartbeat(request.body, through),
      }) ?? null;
    const http = this.mesh?.client ?? outside.http;
    const store = new KeyValueStore({
      http,
      address: settings.storeAddress,
      clock,
      log,
      budget: {
        requestsPerS: settings.store.requestsPerS * REQUEST_SHARE,
        writesPerS: settings.store.writesPerS * WRITE_SHARE,
        writesPerTransaction: settings.store.transactionWrites,
        valueBytes: settings.store.valueBytes,
      },
      random,
    });
    const loadShedder = new LoadShedder(clock, log, outside.load ?? null);
    const { requestsPerS } = settings.store;
    const cache = new WatchCache({
      store,
      prefix: CURRENT_PREFIX,
      clock,
      log,
      watchInterval: requestInterval(WATCH_REQUEST_SHARE, requestsPerS, settings.controllers),
      syncInterval: requestInterval(SYNC_REQUEST_SHARE, requestsPerS, settings.controllers),
      // Polls may lag by seconds: under load they share longer intervals.
      syncSlowdown: () => (loadShedder.atLeast("degraded") ? 5 : loadShedder.atLeast("reduced") ? 2 : 1),
    });
    const transactions = new TransactionBatcher(store, clock, random);
    const eventListener = outside.eventListener ?? null;
    const onInspected = outside.onInspected ?? null;
    const wallClock = outside.wallClock ?? null;
    const own = {
      clock,
      log,
      http,
      random,
      wallClock,
      workerPathChangedAt: () => this.mesh?.workerPathChangedAt ?? null,
    };
    const dependencies = new DependencyGraph();
    this.services = {
      ...own,
      settings,
      options,
      store,
      transactions,
      cache,
      dependencies,
      eventListener,
      loadShedder,
      onInspected,
    };
    this.cloud = new CloudClient(http, settings.cloudAddress, clock, log, settings.cloud.requestsPerS * 0.8);
    this.extension = outside.extension?.(this.services, this.machineTypes) ?? null;
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
      isWithdrawn: (spec) => dependencies.isCancelled(spec.id) || this.extension?.isWithdrawn(spec) === true,
    });
    dependencies.onCancelledByDependency = (id) => {
      for (const leader of this.shardLeaders.values()) leader.cancelByDependency(id);
    };
    dependencies.onReady = (id) => {
      for (const leader of this.shardLeaders.values()) leader.jobReady(id);
    };
    cache.onChangeFirst((change) => this.jobApi.dependencyResolver.onChange(change));
    cache.onChange((change) => {
      if (change.key === MACHINE_TYPES_KEY && change.kind === "put") this.learnMachineTypes(change.value);
      for (const leader of this.shardLeaders.values()) leader.onChange(change);
    });
  }

  /** Of the blocks held here, what is kept in memory. */
  get leadershipSize(): { readonly machines: number; readonly tasks: number } {
    const sum = { machines: 0, tasks: 0 };
    for (const leader of this.shardLeaders.values()) {
      const { machines, tasks } = leader.size;
      sum.machines += machines;
      sum.tasks += tasks;
    }
    return sum;
  }

  /** A job of a block held here, as far as its place in the order goes. */
  findJob(id: string): Pick<Job, "effectiveRank" | "effectiveDeadline" | "awaitingDependencies"> | null {
    for (const leader of this.shardLeaders.values()) {
      const job = leader.findJob(id);
      if (job !== null) return job;
    }
    return null;
  }

  start(): void {
    const { cache, log } = this.services;
    const keep = (name: string, work: Promise<unknown>): void => {
      work.catch((error: unknown) => log.error(LogEvent.LoopFailed, { name, error: describeError(error) }));
    };
    this.mesh?.start();
    keep("view", cache.run());
    keep("membership", this.membership.run());
    keep("types", this.fetchMachineTypes());
    keep("last words", this.jobApi.dependencyResolver.run());
  }

  async handle(request: HttpRequest): Promise<HttpResponse> {
    if (request.target === "/hello") {
      if (request.method !== "POST") return { status: 405, body: "{}" };
      return (await this.relayToLeader(request)) ?? this.handleHeartbeat(request.body, null);
    }
    if (request.target === "/links") {
      const machines = [...this.shardLeaders.values()].map(({ fleetHealth }) => fleetHealth);
      return { status: 200, body: formatJson(encodeLinks(this.mesh?.linkTable() ?? null, machines[0] ?? null)) };
    }
    return this.extension?.handle(request) ?? this.jobApi.handle(request);
  }

  /** The holder hears no worker itself, but can be reached from here: it answers through us. */
  private async relayToLeader(request: HttpRequest): Promise<HttpResponse | null> {
    if (this.mesh === null || this.shardLeaders.size > 0) return null;
    // There is one block; with several, the machine's name tells whose it is.
    const leader = this.membership.leaderOf(0);
    if (leader === null || leader === this.services.settings.label) return null;
    return this.mesh.relayHeartbeat(leader, request);
  }

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

  /** `through`: the sibling that it came to; null: it came here. */
  private handleHeartbeat(body: string, through: string | null): HttpResponse {
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
      const holder = this.membership.leaderOf(shard);
      const elsewhere = holder === this.services.settings.label ? null : holder;
      return { status: 421, body: formatJson(encodeRedirect(elsewhere)) };
    }
    if (through === null) this.mesh?.recordDirectHeartbeat(heartbeat.address);
    else this.mesh?.recordRelayedHeartbeat(heartbeat.address, through);
    const answer = leader.handleHeartbeat(heartbeat);
    if (answer === null) return { status: 503, body: "{}" };
    return { status: 200, body: formatJson(encodeHeartbeatResponse(answer.token, answer.commands)) };
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
    this.services.log.info(LogEvent.ShardReleased, { block: shard });
    this.shardLeaders.get(shard)?.stop();
    this.shardLeaders.delete(shard);
  }

  private learnMachineTypes(raw: unknown): void {
    try {
      const types = decodeMachineTypes(raw);
      if (this.machineTypes.size === 0) for (const type of types) this.machineTypes.set(type.name, type);
    } catch (error) {
      this.services.log.error(LogEvent.MachineTypesRecordMalformed, { error: String(error) });
    }
  }

  private async fetchMachineTypes(): Promise<void> {
    const { clock, cache } = this.services;
    // The record spares the cloud a question at every restart.
    while (!cache.loaded) await sleep(clock, seconds(0.05));
    while (this.machineTypes.size === 0) {
      const reply = await this.cloud.listMachineTypes();
      if (reply.kind === "ok") this.learnMachineTypes(reply.value.raw);
      else await sleep(clock, seconds(1 + this.services.random()));
    }
  }
}
