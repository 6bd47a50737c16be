/** The base class of errors. */

/**
 * The base of all errors that can happen in operation. Subclasses stand in the lowest package that throws them, one for
 * each thing that a caller does about them.
 */
export abstract class RainridgeError extends Error {
  /** A constant in SCREAMING_SNAKE_CASE by which logs and callers tell errors apart. */
  abstract readonly code: string;

  /** `message`: one line for an operator. `options.cause`: the error that led to this one, if there is one. */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
