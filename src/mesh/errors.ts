/** Errors thrown by the mesh. */
import { RainridgeError } from "../transport/errors.js";

/** Received bytes do not form a valid frame. The connection cannot be read any further and must be closed. */
export class MalformedFrameError extends RainridgeError {
  readonly code = "MALFORMED_FRAME";
}
