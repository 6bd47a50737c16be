/** Logs the failures of promises that no caller awaits. */
import { describeError, type Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/** Settles once `work` has settled; never rejects. */
export type FailureGuard = (work: Promise<unknown>) => Promise<void>;

/** Creates a guard that logs rejections as `leader step failed`. */
export const createFailureGuard =
  (log: Log): FailureGuard =>
  (work) =>
    work.then(
      () => undefined,
      (error: unknown) => log.error(LogEvent.LeaderStepFailed, { error: describeError(error) }),
    );
