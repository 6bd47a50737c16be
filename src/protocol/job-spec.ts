import { RecordCodec } from "./record-codec.js";
import { type Resources, resourcesCodec } from "./resources.js";

/** A gang runs to completion like an array, but its tasks run together or not at all. */
export type JobShape = "array" | "gang" | "service";
export const PRIORITIES = ["production", "high", "normal", "low"] as const;
export type Priority = (typeof PRIORITIES)[number];

/** The place of a priority in their order; 0 is the highest. */
export const priorityRank = (priority: Priority): number => PRIORITIES.indexOf(priority);

/** What is known of a job for ever. Amounts are scaled: thousandths of a CPU, MiB-like thousandths of a GB. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly demand: Resources;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly singleZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimatedRunS: number;
  readonly checkpointIntervalS: number;
  readonly checkpointDurationS: number;
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly dependencies?: readonly string[];
  /** What the job is a part of, where it is one; never sent by users. */
  readonly origin?: GraphOrigin;
}

/** `place`: the job's place in its graph's own order, which decides among the graph's jobs and nowhere else. */
export interface GraphOrigin {
  readonly graph: string;
  readonly position: number;
}

const graphOriginCodec = new RecordCodec<GraphOrigin>({ graph: "graph", position: "place" });

/** The specification of a job as its record holds it. */
export const jobSpecCodec = new RecordCodec<JobSpec>({
  id: "id",
  jobClass: "jobClass",
  team: "team",
  shape: "shape",
  priority: "priority",
  tasks: "tasks",
  demand: { name: "demand", codec: resourcesCodec },
  types: "types",
  zone: "zone",
  singleZone: "oneZone",
  spread: "spread",
  spot: "spot",
  image: "image",
  imageGb: "imageGb",
  estimatedRunS: "estimateS",
  checkpointIntervalS: "checkpointS",
  checkpointDurationS: "saveS",
  deadlineS: "deadlineS",
  dependencies: "awaits",
  origin: { name: "origin", codec: graphOriginCodec },
});
