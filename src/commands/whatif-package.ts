/** Access to the whatif package for the commands that use it. */
import { fileURLToPath } from "node:url";
import type { Remark } from "../whatif/index.js";
import { CommandError } from "./cli.js";

/** Path of the program's entry point, for commands that start controllers as separate processes. */
export const PROGRAM_PATH = fileURLToPath(new URL("../main.js", import.meta.url));

/** Exports of the whatif package. */
export type WhatifPackage = typeof import("../whatif/index.js");

/** Loads the whatif package and runs a command with it. A `TraceError` becomes a `CommandError` of misuse. */
export const withWhatifPackage = async (run: (whatif: WhatifPackage) => Promise<void>): Promise<void> => {
  const whatif = await import("../whatif/index.js");
  try {
    await run(whatif);
  } catch (error) {
    if (error instanceof whatif.TraceError) throw new CommandError(error.message, true);
    throw error;
  }
};

/** A remark about a trace as one line, with the number of the trace's line unless that is 0. */
export const formatRemark = ({ line, what }: Remark): string => (line === 0 ? what : `line ${line}: ${what}`);
