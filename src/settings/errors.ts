/** The error of settings that cannot be used. */
import { RainridgeError } from "../transport/errors.js";

/** A file of settings or options is missing or invalid. The message is one line that names the file or the field. */
export class SettingsError extends RainridgeError {
  readonly code = "SETTINGS_INVALID";
}
