/** The program's log: one JSON line an event on standard error. */
import { destination, pino } from "pino";
import type { Log } from "./log.js";

const LEVELS = ["error", "info", "debug"];
const DEFAULT_LEVEL = "info";
const STANDARD_ERROR = 2;

/** Whether events are wanted that only this level shows. */
export const isDebug = (level: string | undefined): boolean => level === "debug";

/**
 * Creates the log of the node `label`. Each line has the time of day in milliseconds and is written at once, so that
 * the last events of a killed process are kept. An unknown or absent `level` means "info".
 */
export const createLog = (label: string, level: string | undefined): Log => {
  const logger = pino(
    { level: level !== undefined && LEVELS.includes(level) ? level : DEFAULT_LEVEL, base: { node: label } },
    destination({ dest: STANDARD_ERROR, sync: true }),
  );
  return {
    error: (event, fields) => logger.error(fields ?? {}, event),
    info: (event, fields) => logger.info(fields ?? {}, event),
    debug: (event, fields) => logger.debug(fields ?? {}, event),
  };
};
