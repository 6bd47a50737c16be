import { fileURLToPath } from "node:url";
import type { Remark } from "../whatif/index.js";
import { CommandError } from "./cli.js";

/** The program itself, for whoever starts controllers as processes of their own. */
export const PROGRAM = fileURLToPath(new URL("../main.js", import.meta.url));

export type Whatif = typeof import("../whatif/index.js");

/** The package loads only when it is used; its own errors are one line, and the call is at fault. */
export const withWhatif = async (run: (whatif: Whatif) => Promise<void>): Promise<void> => {
  const whatif = await import("../whatif/index.js");
  try {
    await run(whatif);
  } catch (error) {
    if (error instanceof whatif.TraceError) throw new CommandError(error.message, true);
    throw error;
  }
};

export const remarkLine = ({ line, what }: Remark): string => (line === 0 ? what : `line ${line}: ${what}`);
