/** The leader of one shard: manages its machines and jobs for as long as this process holds the shard's lease. */
import type { Job } from "../../cluster/job.js";
import type { KeyChange } from "../../protocol/key-value-store.js";
import type { MachineLinks } from "../../protocol/links.js";
import type { Heartbeat } from "../../protocol/worker.js";
import type { Micros } from "../../transport/clock.js";
import type { HeartbeatReply } from "./heartbeat-responder.js";
import type { LeaderState } from "./leader-state.js";
import { MIN_ROUND_INTERVAL } from "./round-timer.js";
import { buildShardCollaborators, type ShardCollaborators, type ShardLeaderOptions } from "./shard-collaborators.js";

/** Leads a shard from construction to `stop`. All of its state is discarded with the lease. */
export class ShardLeader {
  /** When the shard was acquired, by this process's monotonic clock. */
  readonly acquiredAt: Micros;
  private readonly state: LeaderState = { stopped: false, extension: null };
  private readonly collaborators: ShardCollaborators;

  constructor(options: ShardLeaderOptions) {
    this.acquiredAt = options.services.clock.now();
    this.collaborators = buildShardCollaborators(options, this.state);
    this.start(options);
  }

  /** Restores the recorded jobs first, since the extension and the first checks need them. */
  private start({ extension }: ShardLeaderOptions): void {
    const { context, jobWatcher, checks, roundTimer, autoscaler } = this.collaborators;
    jobWatcher.restore();
    this.state.extension =
      extension?.acquireShard(context, {
        cancelJobsOfCancelledRuns: (ids) => {
          for (const id of ids) jobWatcher.cancelWithRun(id);
        },
      }) ?? null;
    checks.start();
    roundTimer.schedule(MIN_ROUND_INTERVAL);
    void autoscaler.run();
  }

  /** Ends all loops and timers: no further writes or commands for the shard. */
  stop(): void {
    this.state.stopped = true;
    this.collaborators.checks.stop();
    this.state.extension?.stop();
    this.collaborators.autoscaler.stop();
    this.collaborators.roundTimer.stop();
    this.collaborators.longPolls.endAll();
  }

  /** The response to the heartbeat; null: none may be sent. `mayWait`: it may be held back as a long poll. */
  handleHeartbeat(heartbeat: Heartbeat, mayWait: boolean): Promise<HeartbeatReply | null> {
    return this.collaborators.heartbeatResponder.respond(heartbeat, mayWait);
  }

  /** The state of the machines and of the shard lease, for operators. */
  get fleetHealth(): MachineLinks {
    const { context, failureDetector, scheduler } = this.collaborators;
    return {
      ...failureDetector.fleetHealth(),
      leaseValid: context.lease.isValid(),
      reservedForJob: scheduler.reservedForJob,
    };
  }

  /** The number of machines whose heartbeats this leader has verified. */
  get upMachines(): number {
    let count = 0;
    for (const { state } of this.collaborators.context.shard.machines.values()) if (state === "up") count += 1;
    return count;
  }

  /** The numbers of machines and of unfinished tasks in memory. */
  get size(): { readonly machines: number; readonly tasks: number } {
    const { machines, jobs } = this.collaborators.context.shard;
    let tasks = 0;
    for (const { waitingTasks, placedTasks } of jobs.values()) tasks += waitingTasks.size + placedTasks.size;
    return { machines: machines.size, tasks };
  }

  /** The text of the machine's last task list, if an identical one needs no processing; else null. */
  knownTaskListOf(machine: string): string | null {
    return this.collaborators.context.shard.machines.get(machine)?.reported.taskListText ?? null;
  }

  /** The job, if it is a current job of this shard; else null. */
  findJob(id: string): Job | null {
    return this.collaborators.context.shard.jobs.get(id) ?? null;
  }

  /** The numbers of the job's completed and running tasks; null: not a current job of this shard. */
  taskCounts(jobId: string): { done: number; running: number } | null {
    const job = this.findJob(jobId);
    if (job === null) return null;
    return { done: job.completedTasks, running: job.runningTasks };
  }

  /** Applies a change of a current record in the watch cache. */
  onChange(change: KeyChange): void {
    if (this.state.stopped) return;
    this.collaborators.jobWatcher.onChange(change);
    this.state.extension?.onChange(change);
  }

  /** Cancels the job because one that it depends on was cancelled. */
  cancelByDependency(id: string): void {
    if (this.state.stopped) return;
    this.collaborators.jobWatcher.cancelByDependency(id);
    this.collaborators.dependencyTracker.jobCancelledByDependency(id);
  }

  /** Called once all dependencies of the job are recorded as done. */
  jobReady(id: string): void {
    if (!this.state.stopped) this.collaborators.dependencyTracker.jobReady(id);
  }
}
