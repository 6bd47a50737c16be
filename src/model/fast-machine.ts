import { type Heartbeat, taskStatusOf } from "../protocol/worker.js";
import type { Occupant } from "./cloud-service.js";
import { Executor, type ExecutorAround } from "./executor.js";
import { HOP } from "./fast-writer.js";
import type { TypeSpec } from "./site-spec.js";
import type { HostInfo } from "./witness.js";
import { S } from "./world.js";

/** Minimum time between two heartbeats. */
const REPORT_GAP = S / 2;
/** Time until a worker reaches the shard leader: one refusal or redirect, then up to half a second. */
const FOUND_LEAST = S;
const FOUND_MOST = 1.5 * S;
/** The fast model has a single leadership term, so the fencing token is constant. */
export const TOKEN = 65_536;

/** A machine of the fast model: runs tasks and reports changes at most as often as a worker may send heartbeats. */
export class FastMachine implements Occupant {
  readonly host = { address: "" };
  readonly executor: Executor;
  private armed = false;
  private lastReport = -S;
  private sequence = 0;
  private noticeAt: number | null = null;
  private gone = false;

  constructor(
    private readonly around: ExecutorAround,
    readonly info: HostInfo,
    type: TypeSpec,
    private readonly heard: (machine: FastMachine) => void,
  ) {
    this.executor = new Executor(around, info, type, () => this.changed());
    const { timeline, luck } = around;
    // Workers of machines that exist from the start must find the shard leader first, which already scales out.
    if (timeline.now > 0) this.changed();
    else timeline.after(luck.between("found", info.name, FOUND_LEAST, FOUND_MOST), () => this.changed());
  }

  /** Schedules a heartbeat unless one is already scheduled. */
  changed(): void {
    const { timeline } = this.around;
    if (this.armed || this.gone) return;
    this.armed = true;
    timeline.at(Math.max(timeline.now + HOP, this.lastReport + REPORT_GAP), () =>
      this.executor.awake(() => {
        this.armed = false;
        this.lastReport = timeline.now;
        this.heard(this);
      }),
    );
  }

  /** The heartbeat for the current state. */
  report(): Heartbeat {
    this.sequence += 1;
    const { name, type, zone, spot } = this.info;
    const tasks = [...this.executor.list()].map((task) => taskStatusOf(task.shard, task.try, task.phase, task.cause));
    const noticeS = this.noticeAt === null ? null : Math.max(0, this.noticeAt - this.around.timeline.now) / S;
    return {
      machine: name,
      address: "",
      type,
      zone,
      spot,
      incarnation: 1,
      sequence: this.sequence,
      token: TOKEN,
      reclaimNoticeS: noticeS,
      tasks,
      taskListText: null,
      taskListUnchanged: false,
    };
  }

  notice(inUs: number): void {
    this.noticeAt = this.around.timeline.now + inUs;
    this.changed();
  }

  hang(forUs: number): void {
    this.executor.hang(forUs);
  }

  sicken(): void {
    this.executor.sick = true;
  }

  /** Restarts the worker; its counters are not modelled. */
  restart(): void {
    this.executor.restart();
    this.changed();
  }

  end(): void {
    this.gone = true;
    this.executor.end();
  }
}
