/** The specification of a job, and the form in which its record holds it. */
import { RecordCodec } from "./record-codec.js";
import { type Resources, resourcesCodec } from "./resources.js";

/** A gang runs to completion like an array, but its tasks run together or not at all. */
export type JobShape = "array" | "gang" | "service";

/** All priorities, the highest first. */
export const PRIORITIES = ["production", "high", "normal", "low"] as const;
/** One of `PRIORITIES`. */
export type Priority = (typeof PRIORITIES)[number];

/** The place of a priority in their order; 0 is the highest. */
export const priorityRank = (priority: Priority): number => PRIORITIES.indexOf(priority);

/** What a job asks for. Never changes once the job is accepted. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  /** Number of tasks. */
  readonly tasks: number;
  /** Of each task. */
  readonly demand: Resources;
  /** Machine types that may run it; null: all. */
  readonly types: readonly string[] | null;
  /** Zone in which it has to run; null: any. */
  readonly zone: string | null;
  /** Whether all tasks have to run in one zone. */
  readonly singleZone: boolean;
  /** Whether no zone may have more than half of the tasks, rounded up. */
  readonly spread: boolean;
  /** Whether spot instances may run it. */
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  /** Running time of a task, as the user estimates it. */
  readonly estimatedRunS: number;
  /** Time from one checkpoint to the next; 0: none are made. */
  readonly checkpointIntervalS: number;
  readonly checkpointDurationS: number;
  /** Null: none. */
  readonly deadlineS: number | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly dependencies?: readonly string[];
  /** The graph that the job is a part of, if any; never sent by users. */
  readonly origin?: GraphOrigin;
}

/** `position`: the job's place in its graph's own order, which decides among the graph's jobs and nowhere else. */
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
