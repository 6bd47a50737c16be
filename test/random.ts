/** Random sequences for tests that run with many seeds. */
import { Random } from "../src/model/index.js";

export { Random };

/** Runs a check with the seeds 1 to `count`; throws an error that names the first seed that fails. */
export const forSeeds = (count: number, run: (random: Random) => void): void => {
  for (let seed = 1; seed <= count; seed += 1) {
    try {
      run(new Random(seed));
    } catch (error) {
      throw new Error(`seed ${seed}`, { cause: error });
    }
  }
};
