/** Log implementation that writes one JSON line per event to standard error. */
import { destination, pino } from "pino";
import type { Log } from "./log.js";

const LEVELS = ["error", "info", "debug"];
const DEFAULT_LEVEL = "info";
const STANDARD_ERROR = 2;

/** Whether this log level includes debug events. */
export const isDebug = (level: string | undefined): boolean => level === "debug";

/**
 * Creates the log of the controller `label`. Each line has the wall-clock time in milliseconds and is written
 * synchronously, so that the last events of a killed process are not lost. An unknown or absent `level` means "info".
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
