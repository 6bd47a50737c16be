import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import type { Outcome } from "./outcome.js";
import type { ScenarioSpec } from "./scenario.js";
import { TraceError } from "./trace.js";

export interface CellTask {
  readonly id: number;
  readonly spec: ScenarioSpec;
  readonly seed: number;
}

export type CellAnswer =
  | { readonly id: number; readonly kind: "done"; readonly outcome: Outcome }
  | { readonly id: number; readonly kind: "failed"; readonly message: string };

/** A replay in a worker thread may take so much memory. */
const THREAD_MB = 2_048;
const CELL = new URL("./cell.js", import.meta.url);

/**
 * Replays many scenarios in worker threads, each thread one at a time. `finished` is told of each as it comes, in any
 * order; the first failure ends all. Throws TraceError with its message.
 */
export const replayAll = async (
  cells: readonly { readonly spec: ScenarioSpec; readonly seed: number }[],
  threads: number | null,
  finished: (at: number, outcome: Outcome) => void,
): Promise<void> => {
  const count = Math.min(cells.length, threads ?? Math.max(1, availableParallelism() - 1));
  let next = 0;
  let failed: Error | null = null;
  const one = async (): Promise<void> => {
    const worker = new Worker(CELL, { resourceLimits: { maxOldGenerationSizeMb: THREAD_MB } });
    try {
      while (next < cells.length && failed === null) {
        const id = next;
        next += 1;
        const cell = cells[id];
        if (cell === undefined) return;
        const result = await new Promise<CellAnswer>((resolve, reject) => {
          worker.once("message", (message: CellAnswer) => {
            worker.removeAllListeners("error");
            resolve(message);
          });
          worker.once("error", (error) => {
            worker.removeAllListeners("message");
            reject(new TraceError(`replay failed: ${error instanceof Error ? error.message : String(error)}`));
          });
          const task: CellTask = { id, ...cell };
          worker.postMessage(task);
        });
        if (result.kind === "failed") throw new TraceError(result.message);
        finished(id, result.outcome);
      }
    } catch (error) {
      failed = error instanceof Error ? error : new Error(String(error));
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: count }, one));
  if (failed !== null) throw failed as Error;
};
