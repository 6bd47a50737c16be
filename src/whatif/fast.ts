import { combineObservers, FastSite, noopObserver } from "../model/index.js";
import { conduct, type ReplayRequest } from "./conduct.js";
import { Ledger } from "./ledger.js";
import type { Outcome } from "./outcome.js";

/** Replays on the fast model: the decisions' own code, and times in place of requests. */
export const replayFast = (request: ReplayRequest, check: () => void = () => undefined): Outcome => {
  const { site: spec, options, seed } = request;
  const books: Ledger[] = [];
  const site = new FastSite({
    spec,
    options,
    seed,
    watch: (world) => {
      const now = (): number => world.now;
      const ledger = new Ledger(now, spec);
      books.push(ledger);
      return { witness: combineObservers([ledger, request.witness?.(now) ?? noopObserver]), hearing: ledger };
    },
  });
  const [ledger] = books;
  if (ledger === undefined) throw new Error("no ledger");
  const { world, cloud } = site;
  const conducted = conduct(
    request,
    {
      world,
      cloud,
      submit: (job, behaviour) => site.submit(job, behaviour),
      others: {
        cancel: (job) => site.cancel(job),
        take: (machine, why) => site.take(machine, why),
        notice: (machine, withinUs) => site.notice(machine, withinUs),
        silent: (machine, forUs) => site.silent(machine, forUs),
        faulty: (machine) => site.faulty(machine),
        cloudOutage: (forUs) => site.cloudOutage(forUs),
        stateOutage: (forUs) => site.stateOutage(forUs),
        controllerEnd: (controller, backAfterUs) => site.controllerEnd(controller, backAfterUs),
      },
    },
    ledger,
  );
  world.runAtOnce(Number.MAX_SAFE_INTEGER, check);
  return conducted.outcome("fast", []);
};
