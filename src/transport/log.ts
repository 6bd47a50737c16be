/** One structured line an event; `main` binds it to the real logger, tests to a recorder. */
export type LogFields = Readonly<Record<string, unknown>>;

export interface Log {
  error(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

export const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
