import { Random } from "../src/model/index.js";

export { Random };

/** Runs a check for many seeds; a failure names the one to repeat. */
export const forSeeds = (count: number, run: (random: Random) => void): void => {
  for (let seed = 1; seed <= count; seed += 1) {
    try {
      run(new Random(seed));
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
};
