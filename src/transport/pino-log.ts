import { destination, pino } from "pino";
import type { Log } from "./log.js";

const LEVELS = ["error", "info", "debug"];

/** Whether events are wanted that only this level shows. */
export const isDebug = (level: string | undefined): boolean => level === "debug";

/** One JSON line an event, with the time of day in milliseconds, on standard error, written at once: a killed process leaves its last words. */
export const createLog = (label: string, level: string | undefined): Log => {
  const logger = pino(
    { level: level !== undefined && LEVELS.includes(level) ? level : "info", base: { node: label } },
    destination({ dest: 2, sync: true }),
  );
  return {
    error: (event, fields) => logger.error(fields ?? {}, event),
    info: (event, fields) => logger.info(fields ?? {}, event),
    debug: (event, fields) => logger.debug(fields ?? {}, event),
  };
};
