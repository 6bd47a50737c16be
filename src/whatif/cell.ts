/** A worker thread that replays what it is given, one after the other. */
import { parentPort } from "node:worker_threads";
import type { CellAnswer, CellTask } from "./pool.js";
import { prepare, replay } from "./scenario.js";

const answer = async ({ id, spec, seed }: CellTask): Promise<CellAnswer> => {
  try {
    return { id, kind: "done", outcome: await replay(spec, await prepare(spec, seed)) };
  } catch (error) {
    return { id, kind: "failed", message: error instanceof Error ? error.message : String(error) };
  }
};

parentPort?.on("message", (task: CellTask) => {
  void answer(task).then((result) => parentPort?.postMessage(result));
});
