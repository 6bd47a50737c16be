import type { GraphOrigin, JobSpec, Resources } from "./job.js";
import { RecordCodec } from "./record-codec.js";

const resourcesCodec = new RecordCodec<Resources>({ cpu: "cpu", gpu: "gpu", ram: "ram" });

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
