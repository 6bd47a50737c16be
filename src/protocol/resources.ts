import { RecordCodec } from "./record-codec.js";

/** Whole thousandths, so that adding and subtracting leaves no rounding behind in a quota. */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

/** Demands round up and capacities down, so scaling can never let a task in that does not fit. */
export const requestedResources = (cpus: number, gpus: number, ram: number): Resources => ({
  cpu: Math.ceil(cpus * 1_000 - 1e-6),
  gpu: Math.ceil(gpus * 1_000 - 1e-6),
  ram: Math.ceil(ram * 1_000 - 1e-6),
});

export const availableResources = (cpus: number, gpus: number, ram: number): Resources => ({
  cpu: Math.floor(cpus * 1_000 + 1e-6),
  gpu: Math.floor(gpus * 1_000 + 1e-6),
  ram: Math.floor(ram * 1_000 + 1e-6),
});

export const resourcesCodec = new RecordCodec<Resources>({ cpu: "cpu", gpu: "gpu", ram: "ram" });
