import { type Heartbeat, taskStatusOf } from "../protocol/worker.js";
import type { MachineWorker } from "./cloud-service.js";
import { Executor, type ExecutorEnvironment } from "./executor.js";
import { NETWORK_LATENCY_US } from "./fast-write-queue.js";
import type { HostInfo } from "./machine-observer.js";
import { S } from "./simulation.js";
import type { TypeSpec } from "./site-spec.js";

/** Minimum time between two heartbeats. */
const MIN_HEARTBEAT_GAP_US = S / 2;
/** Time until a worker reaches the shard leader: one refusal or redirect, then up to half a second. */
const MIN_DISCOVERY_US = S;
const MAX_DISCOVERY_US = 1.5 * S;
/** The fast model has a single leadership term, so the fencing token is constant. */
export const FENCING_TOKEN = 65_536;

/** A machine of the fast model: runs tasks and reports changes at most as often as a worker may send heartbeats. */
export class FastMachine implements MachineWorker {
  readonly host = { address: "" };
  readonly executor: Executor;
  private heartbeatScheduled = false;
  private lastHeartbeat = -S;
  private sequence = 0;
  private reclaimAt: number | null = null;
  private ended = false;

  constructor(
    private readonly environment: ExecutorEnvironment,
    readonly info: HostInfo,
    type: TypeSpec,
    private readonly onHeartbeat: (machine: FastMachine) => void,
  ) {
    this.executor = new Executor(environment, info, type, () => this.scheduleHeartbeat());
    const { timeline, namedRandom } = environment;
    // Workers of machines that exist from the start must find the shard leader first, which already scales out.
    if (timeline.now > 0) this.scheduleHeartbeat();
    else
      timeline.after(namedRandom.between("found", info.name, MIN_DISCOVERY_US, MAX_DISCOVERY_US), () =>
        this.scheduleHeartbeat(),
      );
  }

  /** Schedules a heartbeat unless one is already scheduled. */
  scheduleHeartbeat(): void {
    const { timeline } = this.environment;
    if (this.heartbeatScheduled || this.ended) return;
    this.heartbeatScheduled = true;
    timeline.at(Math.max(timeline.now + NETWORK_LATENCY_US, this.lastHeartbeat + MIN_HEARTBEAT_GAP_US), () =>
      this.executor.whenRunning(() => {
        this.heartbeatScheduled = false;
        this.lastHeartbeat = timeline.now;
        this.onHeartbeat(this);
      }),
    );
  }

  /** The heartbeat for the current state. */
  heartbeat(): Heartbeat {
    this.sequence += 1;
    const { name, type, zone, spot } = this.info;
    const tasks = [...this.executor.list()].map((task) => taskStatusOf(task.shard, task.try, task.phase, task.cause));
    const noticeS = this.reclaimAt === null ? null : Math.max(0, this.reclaimAt - this.environment.timeline.now) / S;
    return {
      machine: name,
      address: "",
      type,
      zone,
      spot,
      incarnation: 1,
      sequence: this.sequence,
      token: FENCING_TOKEN,
      reclaimNoticeS: noticeS,
      tasks,
      taskListText: null,
      taskListUnchanged: false,
    };
  }

  notice(inUs: number): void {
    this.reclaimAt = this.environment.timeline.now + inUs;
    this.scheduleHeartbeat();
  }

  hang(forUs: number): void {
    this.executor.hang(forUs);
  }

  makeFaulty(forUs = Number.POSITIVE_INFINITY): void {
    this.executor.makeFaulty(forUs);
  }

  /** Restarts the worker; its counters are not modelled. */
  restart(): void {
    this.executor.restart();
    this.scheduleHeartbeat();
  }

  end(): void {
    this.ended = true;
    this.executor.end();
  }
}
