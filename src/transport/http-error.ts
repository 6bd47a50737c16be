/** The error for malformed, unsupported or oversized HTTP messages. */
import { RainridgeError } from "./errors.js";

/** Message framing is lost: later bytes on the connection cannot be interpreted, so it has to be closed. */
export class HttpError extends RainridgeError {
  readonly code = "HTTP_MESSAGE_MALFORMED";

  /** `status`: the HTTP status that a server responds with before it closes the connection. */
  constructor(
    readonly status: number,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
