/** Structured log: one line an event. The program binds it to the real logger, tests bind it to a recorder. */

/** Values that go with an event, by name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A log with three levels. `event` is a constant text, in the form "subject verb". */
export interface Log {
  /** What an operator has to look at. */
  error(event: string, fields?: LogFields): void;
  /** What happens rarely and matters later. */
  info(event: string, fields?: LogFields): void;
  /** What happens all the time. */
  debug(event: string, fields?: LogFields): void;
}

/** Text of anything that was thrown, with the stack where there is one. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
