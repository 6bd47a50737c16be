/** The specification of a job, and its codec for job records. */
import { RecordCodec } from "./record-codec.js";
import { type Resources, resourcesCodec } from "./resources.js";

/** A gang runs to completion like an array, but its tasks run all together or not at all. */
export type JobShape = "array" | "gang" | "service";

/** All priorities, the highest first. */
export const PRIORITIES = ["production", "high", "normal", "low"] as const;
/** One of `PRIORITIES`. */
export type Priority = (typeof PRIORITIES)[number];

/** Index of the priority in `PRIORITIES`; 0 is the highest. */
export const priorityRank = (priority: Priority): number => PRIORITIES.indexOf(priority);

/** Specification of a job. Immutable once the job is accepted. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Resources of each task. */
  readonly demand: Resources;
  /** Machine types on which it may run; null: all. */
  readonly types: readonly string[] | null;
  /** Zone in which it must run; null: any. */
  readonly zone: string | null;
  /** Whether all tasks must run in the same zone. */
  readonly singleZone: boolean;
  /** Whether each zone may run at most half of the tasks, rounded up. */
  readonly spread: boolean;
  /** Whether it may run on spot instances. */
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  /** Running time of a task in seconds, as estimated by the user. */
  readonly estimatedRunS: number;
  /** Time between checkpoints in seconds; 0: the job makes none. */
  readonly checkpointIntervalS: number;
  readonly checkpointDurationS: number;
  /** Deadline in seconds after acceptance; null: none. */
  readonly deadlineS: number | null;
  /** Ids of the jobs that must be done before any task of this one starts. */
  readonly dependencies?: readonly string[];
  /** The graph to which the job belongs, if any; never sent by users. */
  readonly origin?: GraphOrigin;
}

/** `position`: the job's position in the order of its graph, used to order jobs of the same graph only. */
export interface GraphOrigin {
  readonly graph: string;
  readonly position: number;
}

const graphOriginCodec = new RecordCodec<GraphOrigin>({ graph: "graph", position: "place" });

/** Codec of the specification in a job record. */
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
