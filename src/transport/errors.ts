/** The base class of operational errors. */

/**
 * Base class of all errors that are expected in operation. Each subclass is declared in the lowest package that throws
 * it; errors that callers handle in the same way share one subclass.
 */
export abstract class RainridgeError extends Error {
  /** Constant in SCREAMING_SNAKE_CASE that identifies the kind of error to callers and in logs. */
  abstract readonly code: string;

  /** `message`: one line for an operator. `options.cause`: the underlying error, if any. */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
