/** Interface of the structured log, one line per event. The process writes it with pino; tests record the events. */

/** Values logged with an event, by field name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A log with three levels. `event` is a constant text of the form "subject verb". */
export interface Log {
  /** For events that an operator has to look into. */
  error(event: string, fields?: LogFields): void;
  /** For rare events that help to explain later ones. */
  info(event: string, fields?: LogFields): void;
  /** For frequent events. */
  debug(event: string, fields?: LogFields): void;
}

/** Describes any thrown value: the stack of an error if present, else its message or the value as text. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
