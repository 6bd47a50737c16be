import { ms } from "./clock.js";

/** How long a worker has to answer a command or a question. */
export const WORKER_REQUEST_TIMEOUT = ms(1_500);
/** What the way through a sibling, there and back, may take beyond that. */
export const RELAY_ALLOWANCE = ms(300);
