/** The error for invalid settings or options. */
import { RainridgeError } from "../transport/errors.js";

/** A settings or options file is missing or invalid. The message is one line that names the file or the field. */
export class SettingsError extends RainridgeError {
  readonly code = "SETTINGS_INVALID";
}
