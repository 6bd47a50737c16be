import { RecordForm } from "./record-form.js";
import type { Demand, JobSpec, Origin } from "./user.js";

const demandForm = new RecordForm<Demand>({ cpu: "cpu", gpu: "gpu", ram: "ram" });

const originForm = new RecordForm<Origin>({ graph: "graph", place: "place" });

/** The specification of a job as its record holds it. */
export const jobSpecForm = new RecordForm<JobSpec>({
  id: "id",
  jobClass: "jobClass",
  team: "team",
  shape: "shape",
  priority: "priority",
  tasks: "tasks",
  demand: { name: "demand", form: demandForm },
  types: "types",
  zone: "zone",
  oneZone: "oneZone",
  spread: "spread",
  spot: "spot",
  image: "image",
  imageGb: "imageGb",
  estimateS: "estimateS",
  checkpointS: "checkpointS",
  saveS: "saveS",
  deadlineS: "deadlineS",
  awaits: "awaits",
  origin: { name: "origin", form: originForm },
});
