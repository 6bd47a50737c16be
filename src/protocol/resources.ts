/** Amounts of CPU, GPU and memory, as integers. */
import { RecordCodec } from "./record-codec.js";

/** Integer thousandths of a CPU, a GPU and a GB, so that adding and subtracting leaves no rounding error in a quota. */
export interface Resources {
  readonly cpu: number;
  readonly gpu: number;
  readonly ram: number;
}

const UNITS_PER_WHOLE = 1_000;
/**
 * Prevents an amount that is a whole number of thousandths, up to floating-point error, from being rounded to the next.
 */
const ROUNDING_TOLERANCE = 1e-6;

const roundUp = (amount: number): number => Math.ceil(amount * UNITS_PER_WHOLE - ROUNDING_TOLERANCE);
const roundDown = (amount: number): number => Math.floor(amount * UNITS_PER_WHOLE + ROUNDING_TOLERANCE);

/**
 * Scales a demand in CPUs, GPUs and GB to thousandths. Demands round up and capacities down, so that no task is placed
 * where it does not fit.
 */
export const requestedResources = (cpus: number, gpus: number, ramGb: number): Resources => ({
  cpu: roundUp(cpus),
  gpu: roundUp(gpus),
  ram: roundUp(ramGb),
});

/** Scales a capacity in CPUs, GPUs and GB to thousandths, rounding down. */
export const availableResources = (cpus: number, gpus: number, ramGb: number): Resources => ({
  cpu: roundDown(cpus),
  gpu: roundDown(gpus),
  ram: roundDown(ramGb),
});

/** Codec of resources in stored records. */
export const resourcesCodec = new RecordCodec<Resources>({ cpu: "cpu", gpu: "gpu", ram: "ram" });
