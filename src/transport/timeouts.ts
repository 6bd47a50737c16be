/** Timeouts used by the controllers and by the bound on cancellation time (settings/cancellation.ts). */
import { ms } from "./clock.js";

/** Timeout for a worker's response to a command or a status query. */
export const WORKER_REQUEST_TIMEOUT = ms(1_500);
/** Additional round-trip time allowed to a request relayed through another controller. */
export const RELAY_ALLOWANCE = ms(300);
