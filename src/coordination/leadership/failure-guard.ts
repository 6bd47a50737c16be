/** The end of promises that nobody waits for: their failures are logged. */
import { describeError, type Log } from "../../transport/log.js";
import { LogEvent } from "../log-events.js";

/** Waits for `work`; never rejects. */
export type FailureGuard = (work: Promise<unknown>) => Promise<void>;

/** A guard that logs what the work throws as `leader step failed`. */
export const createFailureGuard =
  (log: Log): FailureGuard =>
  (work) =>
    work.then(
      () => undefined,
      (error: unknown) => log.error(LogEvent.LeaderStepFailed, { error: describeError(error) }),
    );
