import { combineObservers, LocalSite, noopObserver, S } from "../model/index.js";
import { type ReplayRequest, standUp } from "./conduct.js";
import { Ledger } from "./ledger.js";
import type { JobOutcome, Outcome } from "./outcome.js";
import { Player } from "./player.js";
import { befalls } from "./stage.js";

const LOOK = S / 2;
const AFTERMATH = 8 * S;

export interface LoopbackRequest extends ReplayRequest {
  readonly port: number;
  readonly program: string;
  readonly onError: (what: string) => void;
  /** Given the site once it is up, so that it can be ended with the process. */
  readonly onSite?: (site: LocalSite) => void;
}

/** Plays a trace in real time on real sockets of this machine, the controllers as processes of their own. */
export const playOnLoopback = async (request: LoopbackRequest): Promise<Outcome> => {
  const { site: spec, options, seed, events, untilUs } = request;
  const books: Ledger[] = [];
  let zero = 0;
  let now = (): number => 0;
  const site = await LocalSite.start({
    spec,
    options,
    seed,
    port: request.port,
    speed: 1,
    evenBoots: false,
    program: request.program,
    onError: request.onError,
    watch: (timeline) => {
      // The trace begins once the controllers can take requests.
      now = () => Math.max(0, Math.round(timeline.now - zero));
      const ledger = new Ledger(() => now(), spec);
      books.push(ledger);
      return { witness: combineObservers([ledger, request.witness?.(() => now()) ?? noopObserver]), hearing: ledger };
    },
  });
  request.onSite?.(site);
  const [ledger] = books;
  if (ledger === undefined) throw new Error("no ledger");
  const { timeline, cloud } = site;
  zero = timeline.now;
  try {
    standUp(request, cloud);
    const player = new Player(
      {
        get now() {
          return now();
        },
        after: (delay, run) => timeline.after(delay, run),
        submit: (job, behaviour) => {
          ledger.opened(job, 0);
          site.submit(job, behaviour);
        },
        machines: () => cloud.running().map(({ info }) => info),
        refuse: (type, zone, spot, forUs) => cloud.refuse(type, zone, spot, forUs),
        ...befalls(site, timeline),
      },
      events,
      request.onPlayed,
    );
    ledger.onEnd = (job) => player.jobEnded(job);
    player.start();
    const ended = await new Promise<Outcome["ended"]>((resolve) => {
      const look = (): void => {
        ledger.sample();
        request.progress?.(now(), ledger);
        if (untilUs !== null && now() >= untilUs) resolve("until");
        else if (
          player.finished &&
          player.held === 0 &&
          ledger.openJobs === 0 &&
          now() >= (events.at(-1)?.at ?? 0) + AFTERMATH
        ) {
          resolve("finished");
        } else timeline.after(LOOK, look);
      };
      look();
    });
    return ledger.outcome({
      mode: "loopback",
      trace: request.name,
      seed,
      ended,
      unmatched: player.unmatched,
      remarks: request.remarks,
    });
  } finally {
    await site.stop();
  }
};

export interface Disorder {
  readonly first: string;
  readonly second: string;
  /** By how much the second is behind the first in one run, and ahead of it in the other. */
  readonly behindUs: number;
  readonly aheadUs: number;
}

export interface Agreement {
  /** Batch jobs that finished in both. */
  readonly jobs: number;
  readonly onlyInOne: readonly string[];
  readonly pairs: number;
  /** Pairs closer than the tolerance in either run: their order says nothing. */
  readonly ties: number;
  readonly disorders: readonly Disorder[];
  /** Between the two runs' finishing times. */
  readonly medianGapUs: number;
  readonly mostGapUs: number;
  readonly agrees: boolean;
}

const MOST_DISORDERS = 50;

/** Job for job: do two runs finish them in the same order? Pairs closer than `tieUs` in either count as ties. */
export const agreement = (a: Outcome, b: Outcome, tieUs: number): Agreement => {
  const finishes = (outcome: Outcome): Map<string, number> => {
    const times = new Map(outcome.jobs.map((job: JobOutcome) => [job.id, job.finishUs]));
    return new Map(outcome.finishing.map((id) => [id, times.get(id) ?? 0]));
  };
  const [first, second] = [finishes(a), finishes(b)];
  const common = [...first.keys()].filter((id) => second.has(id));
  const onlyInOne = [...new Set([...first.keys(), ...second.keys()])].filter((id) => !first.has(id) || !second.has(id));
  const disorders: Disorder[] = [];
  let pairs = 0;
  let ties = 0;
  for (const [at, x] of common.entries()) {
    for (const y of common.slice(at + 1)) {
      pairs += 1;
      const inA = (first.get(y) ?? 0) - (first.get(x) ?? 0);
      const inB = (second.get(y) ?? 0) - (second.get(x) ?? 0);
      if (Math.min(Math.abs(inA), Math.abs(inB)) <= tieUs) ties += 1;
      else if (inA * inB < 0 && disorders.length < MOST_DISORDERS) {
        disorders.push({ first: x, second: y, behindUs: Math.abs(inA), aheadUs: Math.abs(inB) });
      }
    }
  }
  const gaps = common.map((id) => Math.abs((first.get(id) ?? 0) - (second.get(id) ?? 0))).sort((x, y) => x - y);
  return {
    jobs: common.length,
    onlyInOne,
    pairs,
    ties,
    disorders,
    medianGapUs: gaps[Math.floor(gaps.length / 2)] ?? 0,
    mostGapUs: gaps.at(-1) ?? 0,
    agrees: disorders.length === 0 && onlyInOne.length === 0,
  };
};
