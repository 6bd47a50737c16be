import { mean, quantileSorted } from "simple-statistics";
import { Random } from "../model/index.js";

const RESAMPLES = 2_000;
/** Fixed, so that the same results give the same report. */
const SEED = 20_260_317;
const TAIL = 0.025;

/** 95 % interval of the mean by resampling; null where there are too few values to say anything. */
export const bootstrapMean = (values: readonly number[]): { readonly low: number; readonly high: number } | null => {
  if (values.length < 2) return null;
  const random = new Random(SEED);
  const means: number[] = [];
  for (let round = 0; round < RESAMPLES; round += 1) {
    means.push(mean(values.map(() => random.pick(values))));
  }
  means.sort((a, b) => a - b);
  return { low: quantileSorted(means, TAIL), high: quantileSorted(means, 1 - TAIL) };
};
