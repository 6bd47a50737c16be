import { ms } from "./clock.js";

/** How long a worker has to answer a command or a question. */
export const COMMAND_PATIENCE = ms(1_500);
/** What the way through a sibling, there and back, may take beyond that. */
export const RELAY_PATIENCE = ms(300);
