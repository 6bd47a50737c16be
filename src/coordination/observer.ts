import { factsOf } from "../bookkeeping/events.js";
import type { Machine, Task } from "../bookkeeping/picture.js";
import { attemptOf } from "../bookkeeping/tasks.js";
import type { Whole } from "../protocol/json.js";
import type { ExitReason, Report, TaskReport } from "../protocol/worker.js";
import { type Micros, seconds } from "../transport/clock.js";
import { type BlockContext, backOff, FENCES, firstToken, tokenOf } from "./context.js";
import { zoneAllowed, zoneCounts } from "./decisions/eligibility.js";
import { type Evidence, type Origin, weigh } from "./decisions/evidence.js";
import { answersReach, commandsReach, isReached, questionCame, reportCame } from "./decisions/reach.js";
import { acquit, RUNS_WELL, takeFailure } from "./decisions/trial.js";
import type { Recorder } from "./recorder.js";

const RETRY_FIRST = seconds(0.5);
const RETRY_MOST = seconds(30);
/** Reports in a row that look older than what is known, before the worker is asked. */
const DOUBTS = 2;
const GOES_ELSEWHERE = seconds(3.5);

export type ObserverContext = Pick<
  BlockContext,
  | "block"
  | "clock"
  | "lease"
  | "log"
  | "wakeRound"
  | "wakeCommands"
  | "inquire"
  | "introduce"
  | "overload"
  | "sink"
  | "failed"
>;

const allSeen = (machine: Machine): boolean => {
  for (const { launch } of machine.tasks) if (launch.kind !== "seen") return false;
  return true;
};

/** Do the zone rules of its job, given where the other tasks may be, let the task stay where it is? */
const zoneKept = ({ job }: Task, { zone }: Machine): boolean => {
  if (!job.spec.spread && !job.spec.oneZone) return true;
  const counts = zoneCounts(job);
  counts.set(zone, (counts.get(zone) ?? 0) - 1);
  return zoneAllowed(job.spec, counts, zone);
};

/** Takes in what workers say and concludes from it which tasks are where, or surely nowhere. */
export class Observer {
  private failedStarts = 0;
  private late = 0;
  private unproven = 0;

  constructor(
    private readonly context: ObserverContext,
    private readonly recorder: Pick<Recorder, "note" | "finish">,
  ) {}

  /** Nothing is concluded beyond what the message is evidence of (decisions/evidence.ts). */
  observe(machine: Machine, report: Report, origin: Origin): Evidence {
    const { clock, lease, log } = this.context;
    const needed = Math.max(firstToken(lease), machine.anewToken);
    const evidence = weigh(machine, report, origin, needed);
    switch (evidence) {
      case "old":
        return evidence;
      case "doubtful":
        this.late += 1;
        machine.doubts += 1;
        // One may have been overtaken on its way; a worker that has begun anew goes on like that.
        if (machine.doubts >= DOUBTS) {
          machine.doubts = 0;
          machine.doubtedAt = clock.now();
          this.context.inquire(machine);
        }
        return evidence;
      case "unproven":
        // Whom to ask and in which session; no sign of life.
        this.unproven += 1;
        machine.address ??= report.address;
        if (machine.session === null || report.session >= machine.session) {
          if (machine.anewToken === 0) this.counted(machine, report);
          machine.address = report.address;
        }
        return evidence;
      case "anew":
        this.beginAnew(machine, report);
        return evidence;
      case "turned":
        this.turn(machine, report);
        break;
      case "timely":
      case "news":
    }
    // A worker that has had no answer waits for four seconds before it tries elsewhere. What comes sooner has overtaken the
    // answer to a command: taken for a lost one, it cost a question and a token at every other start.
    const skipped =
      machine.timely &&
      !machine.commanding &&
      clock.now() - machine.learntAt > GOES_ELSEWHERE &&
      report.session === machine.session &&
      Number(report.sequence) > Number(machine.sequence) + 1;
    const fresh = !machine.timely || report.session !== machine.session;
    machine.timely = true;
    machine.doubts = 0;
    // A session begins with a whole lease, and may have begun just now: counted from when the machine was rented
    // or found, or from an answer that never got there, the leases of workers seemed over while they ran tasks.
    if (fresh) machine.leaseBase = clock.now();
    if (report.session !== machine.session || report.token !== machine.seenToken) machine.listing = null;
    this.counted(machine, report);
    this.judgeReach(machine, report, origin, skipped);
    machine.address = report.address;
    machine.lastHeard = clock.now();
    this.sayReach(machine);
    if (machine.state !== "up") {
      machine.state = "up";
      machine.idleSince = clock.now();
      log.info("machine up", { machine: machine.name, zone: machine.zone, spot: machine.spot });
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
    if (report.token < needed) return evidence;
    machine.anewToken = 0;
    if (!report.same) {
      this.reconcile(machine, report);
      // Only what the list did itself is known to follow from it: a start not seen yet may still be called lost by it.
      machine.listing = allSeen(machine) ? report.listing : null;
    }
    return evidence;
  }

  private counted(machine: Machine, report: Report): void {
    const { clock, lease } = this.context;
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.seenToken = report.token;
    machine.learntAt = clock.now();
    // Whatever token it shows of ours, commands under a lower one are dropped there.
    const fence = Number(report.token) - firstToken(lease);
    if (fence > machine.fence && fence < FENCES) machine.fence = fence;
  }

  /** What the message tells of answers before it; `skipped`: messages before it went elsewhere or got lost. */
  private judgeReach(machine: Machine, report: Report, origin: Origin, skipped: boolean): void {
    const { lease, overload } = this.context;
    const { reach } = machine;
    // Answered late by ourselves, the worker has gone elsewhere.
    if (overload.atLeast("lean")) return;
    if (origin.kind === "answer") questionCame(reach, report.token, origin.askedAt);
    const ask = origin.kind === "answer" ? skipped : reportCame(reach, report.token, skipped);
    if (ask) reach.asked = tokenOf(lease, machine) + 1;
  }

  /** Says once that a machine is heard and not reached, and once that it is again. */
  private sayReach(machine: Machine): void {
    const { clock, log } = this.context;
    const reached = isReached(machine.reach);
    if (reached === (machine.unreachedSince === null)) return;
    machine.unreachedSince = reached ? null : clock.now();
    if (reached) {
      log.info("machine reached again", { machine: machine.name });
      this.context.wakeRound();
      return;
    }
    log.info("machine heard, not reached", {
      machine: machine.name,
      commands: commandsReach(machine.reach),
      answers: answersReach(machine.reach),
      tasks: machine.tasks.size,
    });
  }

  /** The earlier session is over, and with it all that was started in it and all commands that name it. */
  private turn(machine: Machine, report: Report): void {
    const begun = [...machine.tasks].filter(({ launch }) => launch.kind !== "none");
    this.context.log.info("session turned", { machine: machine.name, session: report.session, tasks: begun.length });
    for (const task of begun) this.gone(task);
    machine.strays = new Map();
    machine.exited = new Map();
  }

  /**
   * Its counters have begun anew: nothing runs there, but commands of before may land once more, since the session's number
   * may be the same and any token is accepted. So it is spoken to under a higher one first, and what was there counts
   * until it shows that one.
   */
  private beginAnew(machine: Machine, report: Report): void {
    const { clock, lease, log } = this.context;
    log.info("machine began anew", { machine: machine.name, tasks: machine.tasks.size });
    const token = tokenOf(lease, machine);
    for (const task of machine.tasks) {
      if (task.launch.kind === "none") continue;
      task.launch = { kind: "unsure", token };
      this.context.block.reported(task, null);
      task.runningSince = null;
    }
    machine.fence += 1;
    machine.anewToken = tokenOf(lease, machine);
    Object.assign(machine.reach, { unanswered: 0, asked: null, unseen: 0, toldAt: null });
    machine.staleSession = null;
    machine.leaseOver = false;
    machine.leaseBase = clock.now();
    machine.timely = false;
    machine.doubts = 0;
    machine.listing = null;
    machine.strays = new Map();
    machine.exited = new Map();
    machine.images.clear();
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.seenToken = report.token;
    machine.learntAt = clock.now();
    machine.address = report.address;
    machine.lastHeard = clock.now();
    this.context.introduce(machine);
  }

  /** For the log: reports that came late or may have, since this was last asked. */
  lateReports(): { readonly late: number; readonly unproven: number } {
    const { late, unproven } = this;
    this.late = 0;
    this.unproven = 0;
    return { late, unproven };
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
    let vanished = false;
    for (const task of [...machine.tasks]) {
      const attempt = attemptOf(task.want);
      const entry = listed.get(task.name)?.find((candidate) => candidate.attempt === attempt);
      if (entry === undefined) {
        vanished ||= task.launch.kind === "seen";
        this.unlisted(machine, task, report.token);
      } else {
        if (entry.state !== "exited") strays.delete(task.name);
        this.listed(machine, task, entry);
      }
    }
    machine.strays = strays;
    machine.exited = exited;
    if (vanished) {
      this.context.log.info("tasks vanished", { machine: machine.name });
      machine.fence += 1;
      this.context.introduce(machine);
    }
    if (strays.size > 0) {
      this.context.log.info("strays", { machine: machine.name, tasks: [...strays.keys()].slice(0, 5) });
    }
  }

  private unlisted(machine: Machine, task: Task, token: Whole): void {
    switch (task.launch.kind) {
      case "none":
      case "sending":
        return;
      case "unsure":
        // Only a worker past the token under which the start was sent can no longer get it.
        if (token <= task.launch.token) return;
        task.launch = { kind: "none" };
        // Where commands do not arrive it would wait for as long as they don't. Beyond its team's limit, or where its job's other
        // tasks keep it out of the zone, it must not be started: one record may be older than another that took its place, and a
        // new holder takes over both.
        if (
          task.job.cancelled ||
          task.stop !== null ||
          !isReached(machine.reach) ||
          !this.context.block.withinLimit(task.job.spec, 0) ||
          !zoneKept(task, machine)
        )
          this.gone(task);
        else if (task.on !== null) this.context.wakeCommands(task.on);
        return;
      case "seen":
        // In one life of a worker no attempt vanishes that it was not told to forget. It has begun anew, and its start may
        // land there once more until a higher token is shown.
        task.launch = { kind: "unsure", token: tokenOf(this.context.lease, machine) };
        this.context.block.reported(task, null);
        task.runningSince = null;
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
