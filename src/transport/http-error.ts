/** The error of an HTTP message that cannot be understood. */
import { RainridgeError } from "./errors.js";

/** The framing of a connection is lost: its next bytes mean nothing, so it has to be closed. */
export class HttpError extends RainridgeError {
  readonly code = "HTTP_MESSAGE_MALFORMED";

  /** `status`: what a server answers before it closes the connection. */
  constructor(
    readonly status: number,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
