import type { Reach } from "../../bookkeeping/picture.js";
import type { Whole } from "../../protocol/json.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** One may get lost on any network. */
const TOO_MANY = 2;

export const commandsReach = ({ unanswered }: Reach): boolean => unanswered < TOO_MANY;
export const answersReach = ({ unseen }: Reach): boolean => unseen < TOO_MANY;
/** Room is only where commands get to and where leases are renewed. */
export const isReached = (reach: Reach): boolean => commandsReach(reach) && answersReach(reach);
/** Nothing gets there: one report without an effect of the answer before is enough, where commands fail as well. */
export const isDeaf = (reach: Reach): boolean => !commandsReach(reach) && reach.unseen > 0;

/** An answer that was on its way when the question left may get there a little later. */
const ON_ITS_WAY = seconds(0.7);
const RECENT = seconds(2.5);

/** A question or command has been answered. */
export const heardBack = (reach: Reach, now: Micros): void => {
  // Whatever was missed while nothing got there says nothing of now: machines were given up for it once a cut was over.
  if (!commandsReach(reach)) {
    reach.unseen = 0;
    reach.toldAt = null;
  }
  reach.unanswered = 0;
  reach.answeredAt = now;
};

/** An answer to a question that left at `askedAt`: where it does not show what an earlier answer to a report told, that was lost. */
export const questionCame = (reach: Reach, token: Whole, askedAt: Micros): void => {
  if (reach.asked === null || reach.toldAt === null) return;
  if (token >= reach.asked) seen(reach);
  // Of an answer of long before it says nothing: that may have been lost in a cut that is over.
  else if (askedAt - reach.toldAt > ON_ITS_WAY && askedAt - reach.toldAt < RECENT)
    reach.unseen = Math.max(reach.unseen, TOO_MANY);
};

const seen = (reach: Reach): void => {
  reach.asked = null;
  reach.toldAt = null;
  reach.unseen = 0;
};

export const gotNothing = (reach: Reach): void => {
  reach.unanswered += 1;
};

/**
 * A report newer than all before. `skipped`: messages between it and the one before that never came here, mostly because
 * the worker had no answer here and tried elsewhere. Returns whether the next answers are to carry a token of their own.
 */
export const reportCame = (reach: Reach, token: Whole, skipped: boolean): boolean => {
  if (reach.asked === null) return skipped || reach.unanswered > 0;
  if (token >= reach.asked) {
    seen(reach);
    return reach.unanswered > 0;
  }
  if (reach.toldAt !== null) reach.unseen += 1;
  return true;
};
