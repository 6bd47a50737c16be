import { combineObservers, noopObserver, Site } from "../model/index.js";
import { conduct, type ReplayRequest } from "./conduct.js";
import { Ledger } from "./ledger.js";
import type { Outcome } from "./outcome.js";
import { befalls } from "./stage.js";

const plain = (_: string, value: unknown): unknown => (typeof value === "bigint" ? String(value) : value);

/** Replays with the controllers' real code on the emulator: every request, write, report and lease. */
export const replayFaithfully = async (
  request: ReplayRequest,
  check: () => void = () => undefined,
): Promise<Outcome> => {
  const { site: spec, options, seed } = request;
  const errors: string[] = [];
  const books: Ledger[] = [];
  const site = new Site({
    spec,
    options,
    seed,
    ...(request.turnSeed === undefined ? {} : { turnSeed: request.turnSeed }),
    watch: (world) => {
      const now = (): number => world.now;
      const ledger = new Ledger(now, spec);
      books.push(ledger);
      return {
        witness: combineObservers([ledger, request.witness?.(now) ?? noopObserver]),
        hearing: ledger,
        log: (level, controller, event, fields) => {
          if (level === "error") errors.push(`controller ${controller}: ${event} ${JSON.stringify(fields, plain)}`);
        },
      };
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
      others: befalls(site, world),
    },
    ledger,
  );
  await world.run(Number.MAX_SAFE_INTEGER, check);
  return conducted.outcome(
    "faithful",
    errors.map((what) => ({ line: 0, what })),
  );
};
