import type { ClusterEvent } from "../cluster/events.js";
import { CloudClient } from "../coordination/autoscaling/cloud-client.js";
import type { ListedMachine, MachineType } from "../protocol/cloud.js";
import type { KeyChange } from "../protocol/key-value-store.js";
import type { Settings } from "../settings/settings.js";
import { decodeJobRecord } from "../storage/job-records.js";
import { KeyValueStore } from "../storage/key-value-store.js";
import { CURRENT_PREFIX, jobOfKey, taskRangeOfKey } from "../storage/keys.js";
import { decodeTaskRange, type TaskRecord } from "../storage/task-range-records.js";
import { WatchCache } from "../storage/watch-cache.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import type { Log } from "../transport/log.js";

/** Of the services' budgets, which are the controllers' first of all. */
const STATE_RPS = 4;
const CLOUD_RPS = 0.5;
const FOLLOW_GAP = ms(500);

interface Sighting {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  state: string;
  missed: number;
}

/** Missing from so many lists in a row, a machine is gone: a single list may be older than the one before. */
const GONE_AFTER = 3;

/**
 * Watches a running site from outside, through the state service and the cloud's list, and tells what it sees. Run
 * times are those between the records of a placement and of its end, so they hold the image fetch and lag by up to
 * the time that ends may wait to be recorded; `record` in the operators' settings has them exactly.
 */
export class SiteObserver {
  private readonly view: WatchCache;
  private readonly cloud: CloudClient;
  private readonly seenJobs = new Set<string>();
  private readonly cancelled = new Set<string>();
  private readonly ranges = new Map<string, readonly TaskRecord[]>();
  private readonly placedAt = new Map<string, Micros>();
  private readonly machines = new Map<string, Sighting>();
  private stopped = false;
  types: readonly MachineType[] = [];

  constructor(
    http: HttpClient,
    private readonly clock: Clock,
    log: Log,
    settings: Settings,
    random: () => number,
    private readonly tell: (event: ClusterEvent) => void,
  ) {
    const store = new KeyValueStore({
      http,
      address: settings.storeAddress,
      clock,
      log,
      budget: { requestsPerS: STATE_RPS, writesPerS: 1, writesPerTransaction: 1 },
      random,
    });
    this.view = new WatchCache({
      store,
      prefix: CURRENT_PREFIX,
      clock,
      log,
      watchInterval: FOLLOW_GAP,
      syncInterval: FOLLOW_GAP,
    });
    this.cloud = new CloudClient(http, settings.cloudAddress, clock, log, CLOUD_RPS);
    this.view.onChange((change) => this.changed(change));
    this.listPeriod = Math.max(seconds(2), settings.cloud.listLag / 2) as Micros;
  }

  private readonly listPeriod: Micros;

  /** Resolves when the catalogue is known; goes on watching until stopped. */
  async start(): Promise<void> {
    while (this.types.length === 0 && !this.stopped) {
      const reply = await this.cloud.listMachineTypes();
      if (reply.kind === "ok") this.types = reply.value.types;
      else await sleep(this.clock, seconds(1));
    }
    void this.view.run();
    void this.watchMachines();
  }

  stop(): void {
    this.stopped = true;
  }

  private changed(change: KeyChange): void {
    if (this.stopped) return;
    const job = jobOfKey(change.key);
    if (job !== null && change.kind === "put") {
      const record = decodeJobRecord(change.value);
      if (!this.seenJobs.has(job)) {
        this.seenJobs.add(job);
        this.tell({ kind: "job seen", spec: record.spec });
      }
      if (record.cancelled && !this.cancelled.has(job)) {
        this.cancelled.add(job);
        this.tell({ kind: "job cancelled", job });
      }
      return;
    }
    const range = taskRangeOfKey(change.key);
    if (range === null) return;
    if (change.kind === "delete") this.endRange(change.key, range.id);
    else this.rangeChanged(change.key, range.id, range.range, decodeTaskRange(change.value));
  }

  private rangeChanged(key: string, job: string, number: number, tasks: readonly TaskRecord[]): void {
    const before = this.ranges.get(key) ?? [];
    const first = number * (before.length || tasks.length);
    tasks.forEach((task, at) => {
      const name = `${key}#${at}`;
      if (task.kind === "placed" && before[at]?.kind !== "placed") this.placedAt.set(name, this.clock.now());
      if (task.kind === "done" && before[at]?.kind !== "done") this.taskDone(name, job, first + at);
      if (task.kind === "waiting") this.placedAt.delete(name);
    });
    this.ranges.set(key, tasks);
  }

  private taskDone(name: string, job: string, index: number): void {
    const placed = this.placedAt.get(name);
    this.placedAt.delete(name);
    if (placed !== undefined) this.tell({ kind: "task done", job, index, ran: (this.clock.now() - placed) as Micros });
  }

  /** The last tasks of a job are not recorded one by one: its last word replaces them. */
  private endRange(key: string, job: string): void {
    const tasks = this.ranges.get(key);
    this.ranges.delete(key);
    tasks?.forEach((_, at) => {
      if (this.cancelled.has(job)) this.placedAt.delete(`${key}#${at}`);
      else this.taskDone(`${key}#${at}`, job, Number(key.slice(key.lastIndexOf("/") + 1)) * tasks.length + at);
    });
  }

  private async watchMachines(): Promise<void> {
    let awaySince: Micros | null = null;
    while (!this.stopped) {
      const asked = this.clock.now();
      const reply = await this.cloud.listMachines();
      if (reply.kind === "ok") {
        if (awaySince !== null) this.tell({ kind: "cloud away", span: (asked - awaySince) as Micros });
        awaySince = null;
        this.listed(reply.value);
      } else awaySince ??= asked;
      await sleep(this.clock, this.listPeriod);
    }
  }

  private listed(list: readonly ListedMachine[]): void {
    const named = new Set<string>();
    for (const { name, type, zone, spot, state } of list) {
      named.add(name);
      const known = this.machines.get(name) ?? { type, zone, spot, state: "", missed: 0 };
      this.machines.set(name, known);
      known.missed = 0;
      if (state === known.state) continue;
      if (state === "running") this.tell({ kind: "machine up", machine: name, type, zone, spot });
      if (state === "failed") this.tell({ kind: "machine failed", machine: name, type, zone, spot });
      known.state = state;
    }
    for (const [machine, known] of this.machines) {
      if (named.has(machine)) continue;
      known.missed += 1;
      if (known.missed < GONE_AFTER) continue;
      this.machines.delete(machine);
      const { type, zone, spot } = known;
      if (known.state === "running") this.tell({ kind: "machine deleted", machine, type, zone, spot });
    }
  }
}
