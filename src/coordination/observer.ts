import { factsOf } from "../bookkeeping/events.js";
import type { Machine, Task } from "../bookkeeping/picture.js";
import { attemptOf } from "../bookkeeping/tasks.js";
import type { Whole } from "../protocol/json.js";
import type { ExitReason, Report, TaskReport } from "../protocol/worker.js";
import { type Micros, seconds } from "../transport/clock.js";
import { type BlockContext, backOff, firstToken } from "./context.js";
import { acquit, RUNS_WELL, takeFailure } from "./decisions/trial.js";
import type { Recorder } from "./recorder.js";

const RETRY_FIRST = seconds(0.5);
const RETRY_MOST = seconds(30);

export type ObserverContext = Pick<
  BlockContext,
  "block" | "clock" | "lease" | "log" | "wakeRound" | "wakeCommands" | "sink" | "failed"
>;

const allSeen = (machine: Machine): boolean => {
  for (const { launch } of machine.tasks) if (launch.kind !== "seen") return false;
  return true;
};

/** Takes in what workers say and concludes from it which tasks are where, or surely nowhere. */
export class Observer {
  private failedStarts = 0;

  constructor(
    private readonly context: ObserverContext,
    private readonly recorder: Pick<Recorder, "note" | "finish">,
  ) {}

  /** `old`: nothing learnt. `untrusted`: the worker does not know our token yet, so its list proves nothing. */
  observe(machine: Machine, report: Report): "new" | "old" | "stale" | "untrusted" {
    const { clock, lease } = this.context;
    if (machine.staleSession !== null && report.session <= machine.staleSession) return "stale";
    if (machine.session !== null) {
      if (report.session < machine.session) return "stale";
      if (report.session === machine.session && report.sequence <= machine.sequence) return "old";
    }
    // A session begins with a whole lease, and may have begun just now: counted from when the machine was rented
    // or found, the leases of workers that had not yet been answered here seemed over while they ran tasks.
    if (report.session !== machine.session) machine.leaseBase = clock.now();
    if (report.session !== machine.session || report.token !== machine.seenToken) machine.listing = null;
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.address = report.address;
    machine.seenToken = report.token;
    machine.lastHeard = clock.now();
    if (machine.state !== "up") {
      machine.state = "up";
      machine.idleSince = clock.now();
      this.context.log.info("machine up", { machine: machine.name, zone: machine.zone, spot: machine.spot });
      this.context.sink?.({ kind: "machine up", ...factsOf(machine) });
      this.context.wakeRound();
    }
    if (report.noticeS === null) machine.noticeUntil = null;
    else if (machine.noticeUntil === null) {
      machine.noticeUntil = (clock.now() + seconds(report.noticeS)) as Micros;
      this.context.log.info("machine notice", { machine: machine.name, leftS: report.noticeS });
      this.context.sink?.({ kind: "machine notice", span: seconds(report.noticeS), ...factsOf(machine) });
      this.context.wakeRound();
    }
    if (report.token < firstToken(lease)) return "untrusted";
    if (machine.lostToken !== null && report.token > machine.lostToken) machine.lostToken = null;
    if (!report.same) {
      this.reconcile(machine, report);
      // Only what the list did itself is known to follow from it: a start not seen yet may still be called lost by it.
      machine.listing = allSeen(machine) ? report.listing : null;
    }
    return "new";
  }

  /** The machine, its tasks and every command sent to it are surely gone. */
  lost(machine: Machine, why: string): void {
    if (machine.tasks.size > 0) {
      this.context.log.info("tasks lost", { machine: machine.name, why, tasks: machine.tasks.size });
    }
    for (const task of [...machine.tasks]) this.gone(task);
    machine.listing = null;
    machine.strays = new Map();
    machine.exited = new Map();
  }

  /** Proved not to be on its machine. */
  gone(task: Task): void {
    if (task.want.kind === "placed") task.want = { kind: "waiting", attempt: task.want.attempt };
    const { job } = task;
    this.context.block.vacate(task);
    this.context.wakeRound();
    if (job.cancelled) this.recorder.finish(job);
    else this.recorder.note(task.range);
  }

  private reconcile(machine: Machine, report: Report): void {
    const strays = new Map<string, Whole>();
    const exited = new Map<string, Whole>();
    const listed = new Map<string, TaskReport[]>();
    for (const entry of report.tasks) {
      const same = listed.get(entry.task) ?? [];
      same.push(entry);
      listed.set(entry.task, same);
      (entry.state === "exited" ? exited : strays).set(entry.task, entry.attempt);
    }
    for (const task of [...machine.tasks]) {
      const attempt = attemptOf(task.want);
      const entry = listed.get(task.name)?.find((candidate) => candidate.attempt === attempt);
      if (entry === undefined) this.unlisted(task, report.token);
      else {
        if (entry.state !== "exited") strays.delete(task.name);
        this.listed(machine, task, entry);
      }
    }
    machine.strays = strays;
    machine.exited = exited;
    if (strays.size > 0) {
      this.context.log.info("strays", { machine: machine.name, tasks: [...strays.keys()].slice(0, 5) });
    }
  }

  private unlisted(task: Task, token: Whole): void {
    switch (task.launch.kind) {
      case "none":
      case "sending":
        return;
      case "unsure":
        // Only a worker past the token under which the start was sent can no longer get it.
        if (token <= task.launch.token) return;
        task.launch = { kind: "none" };
        if (task.job.cancelled || task.stop !== null) this.gone(task);
        else if (task.on !== null) this.context.wakeCommands(task.on);
        return;
      case "seen":
        this.gone(task);
    }
  }

  private listed(machine: Machine, task: Task, entry: TaskReport): void {
    const { clock } = this.context;
    task.launch = { kind: "seen" };
    if (entry.state === "exited") {
      this.exit(machine, task, entry.reason ?? "error");
      return;
    }
    if (entry.state === "running" && task.state !== "running") {
      task.runningSince = clock.now();
      this.context.block.remember(machine, task);
    }
    this.context.block.reported(task, entry.state);
  }

  private exit(machine: Machine, task: Task, reason: ExitReason): void {
    const { block, clock, log } = this.context;
    const { job } = task;
    const now = clock.now();
    if (reason === "done") {
      block.remember(machine, task);
      const ran = (task.runningSince === null ? 0 : now - task.runningSince) as Micros;
      this.context.sink?.({ kind: "task done", job: job.spec.id, index: task.index, ran });
      task.want = { kind: "done" };
      block.vacate(task);
      job.done += 1;
      acquit(job);
      if (job.done >= job.spec.tasks || job.cancelled) this.recorder.finish(job);
      else this.recorder.note(task.range);
      this.context.wakeRound();
      return;
    }
    // Reports that say nothing new do not come by `listed`.
    if (task.runningSince !== null && now - task.runningSince > RUNS_WELL) task.failures = 0;
    if (reason !== "stopped") {
      log.info("task failed", { task: task.name, machine: machine.name, reason });
      this.context.failed(task, reason);
      task.failures += 1;
      task.notBefore = (now + backOff(task.failures - 1, RETRY_FIRST, RETRY_MOST)) as Micros;
      if (reason === "error") this.blame(machine, task, now);
      // A refusal for room means that our picture of the machine is off until the next report.
      else machine.avoidUntil = Math.max(machine.avoidUntil, now + seconds(1)) as Micros;
    }
    this.gone(task);
  }

  /** Failing machines and failing jobs are both backed off, separately. */
  private blame(machine: Machine, task: Task, now: Micros): void {
    const { block, log, sink } = this.context;
    const { job } = task;
    const before = job.onTrial;
    this.failedStarts += 1;
    const verdict = takeFailure(task, machine, block.jobs, block.machines, now);
    if (verdict === "job" && !before) log.info("job on trial", { job: job.spec.id, machines: [...job.failedOn] });
    if (verdict !== "machine" || machine.drain !== null) return;
    machine.drain = "faulty";
    log.info("machine faulty", { machine: machine.name, jobs: [...machine.failures.keys()] });
    sink?.({ kind: "machine faulty", ...factsOf(machine) });
  }

  /** For the log: jobs that fail wherever they are started, and starts that failed since this was last asked. */
  failing(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    const { failedStarts } = this;
    this.failedStarts = 0;
    let jobsOnTrial = 0;
    for (const { onTrial } of this.context.block.jobs.values()) if (onTrial) jobsOnTrial += 1;
    return { jobsOnTrial, failedStarts };
  }
}
