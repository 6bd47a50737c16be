import type { Behaviour } from "./ground-truth.js";
import { S } from "./simulation.js";
import type { Submission } from "./users.js";

/** Behaviour of a job that runs exactly as estimated; services run until they are stopped. */
export const jobBehaviour = (job: Submission): Behaviour => ({
  cpus: job.cpus,
  gpus: job.accelerators,
  ramGb: job.ramGb,
  bundle: job.bundle,
  sizeGb: job.sizeGb,
  runUs: job.shape === "daemon" ? null : Math.round(job.guessS * S),
  saveEveryUs: Math.round(job.saveEveryS * S),
  saveTakesUs: Math.round(job.saveTakesS * S),
  failsAlways: false,
  gang: job.shape === "ensemble" ? job.shards : 0,
});
