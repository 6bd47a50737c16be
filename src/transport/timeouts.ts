/** Times that controllers and the terms of a cancellation share. */
import { ms } from "./clock.js";

/** How long a worker has to answer a command or a status query. */
export const WORKER_REQUEST_TIMEOUT = ms(1_500);
/** What a relay through another controller, there and back, may take beyond that. */
export const RELAY_ALLOWANCE = ms(300);
