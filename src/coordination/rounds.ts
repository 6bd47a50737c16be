import type { Job, Machine, Task } from "../bookkeeping/picture.js";
import { attemptOf } from "../bookkeeping/tasks.js";
import { type BlockContext, firstToken } from "./context.js";
import { summary } from "./decisions/floor.js";
import type { Picture } from "./decisions/picture.js";
import { decideRound, newMemory, type RoundAction } from "./decisions/round.js";
import type { Work } from "./placement/ranking.js";
import type { Recorder } from "./recorder.js";

/** Carries out what placement rounds decide, through records and commands. */
export class Rounds {
  readonly work: Work = { visited: 0 };
  private readonly memory = newMemory();

  constructor(
    private readonly context: BlockContext,
    private readonly recorder: Recorder,
  ) {}

  /** What is known now, for decisions. */
  picture(): Picture {
    const { block, clock, settings, options, lease } = this.context;
    return {
      now: clock.now(),
      block,
      settings,
      options,
      silentAfter: settings.workers.report * options.silentReports,
      firstToken: firstToken(lease),
      work: this.work,
    };
  }

  /** For the log: what each pool holds, and what waits. */
  summary(): ReturnType<typeof summary> {
    return summary(this.picture());
  }

  run(): void {
    if (!this.context.lease.valid()) return;
    for (const action of decideRound(this.picture(), this.memory)) this.carryOut(action);
  }

  private carryOut(action: RoundAction): void {
    switch (action.kind) {
      case "place":
        this.put(action.task, action.machine);
        return;
      case "look later":
        action.task.preemptAfter = action.at;
        return;
      case "stop": {
        const { by, machine, victims } = action;
        this.context.log.info("preempting", {
          task: by.name,
          machine: machine.name,
          victims: victims.map(({ task }) => task.name),
        });
        for (const { task, graceS, notBefore } of victims) {
          task.stop = { graceS };
          task.notBefore = notBefore;
        }
        this.context.wakeCommands(machine);
        return;
      }
      case "dissolve":
        this.dissolve(action.job);
        return;
      case "wait":
    }
  }

  private put(task: Task, machine: Machine): void {
    this.context.block.occupy(task, machine);
    task.want = { kind: "placed", attempt: attemptOf(task.want) + 1, machine: machine.name };
    this.recorder.mark(task.range);
  }

  private dissolve(job: Job): void {
    const { checkpointS, saveS } = job.spec;
    for (const task of job.placed) {
      task.stop ??= { graceS: checkpointS > 0 ? Math.ceil(saveS) : 0 };
      if (task.on !== null) this.context.wakeCommands(task.on);
    }
  }
}
