/** Amounts of CPU, GPU and memory. */
import { RecordCodec } from "./record-codec.js";

/** Whole thousandths of a CPU, of a GPU and of a GB, so that adding and subtracting leaves no rounding in a quota. */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

const UNITS = 1_000;
/** Keeps an amount that is a whole number of thousandths, but for its binary form, from being rounded past it. */
const ROUNDING_TOLERANCE = 1e-6;

const roundUp = (amount: number): number => Math.ceil(amount * UNITS - ROUNDING_TOLERANCE);
const roundDown = (amount: number): number => Math.floor(amount * UNITS + ROUNDING_TOLERANCE);

/** Scales a demand in CPUs, GPUs and GB. Rounds up, as capacities round down: no task is let in that does not fit. */
export const requestedResources = (cpus: number, gpus: number, ramGb: number): Resources => ({
  cpu: roundUp(cpus),
  gpu: roundUp(gpus),
  ram: roundUp(ramGb),
});

/** Scales a capacity in CPUs, GPUs and GB. Rounds down. */
export const availableResources = (cpus: number, gpus: number, ramGb: number): Resources => ({
  cpu: roundDown(cpus),
  gpu: roundDown(gpus),
  ram: roundDown(ramGb),
});

/** Resources as records hold them. */
export const resourcesCodec = new RecordCodec<Resources>({ cpu: "cpu", gpu: "gpu", ram: "ram" });
