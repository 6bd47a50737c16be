/** Errors of the mesh. */
import { RainridgeError } from "../transport/errors.js";

/** Bytes that are no frame. The connection they came over cannot be read any further and is to be closed. */
export class MalformedFrameError extends RainridgeError {
  readonly code = "MALFORMED_FRAME";
}
