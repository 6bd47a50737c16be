import type { CloudService, HostInfo, MachineObserver, Simulation, SiteSpec } from "../model/index.js";
import { S } from "../model/index.js";
import type { OperatorOptions } from "../settings/options.js";
import type { TraceEvent, TraceHeader } from "./format.js";
import type { Ledger } from "./ledger.js";
import type { Outcome } from "./outcome.js";
import { Player } from "./player.js";
import type { Stage } from "./stage.js";

/** What a replay is asked for; the same for both models. */
export interface ReplayRequest {
  /** For the result: which trace it was. */
  readonly name: string;
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
  readonly remarks: Outcome["remarks"];
  /** The site as it is to be, which may differ from the header's. */
  readonly site: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  /** Other delays on the network with the same boots, fetches and speeds: as much as a real run may differ. */
  readonly turnSeed?: number;
  /** Microseconds after the trace's beginning; null: until nothing is left to do. */
  readonly untilUs: number | null;
  /** Told now and then how far it has come. */
  readonly progress?: (nowUs: number, ledger: Ledger) => void;
  /** Told what truly happens, beside the ledger: a checker, or a recorder. */
  readonly witness?: (now: () => number) => MachineObserver;
  readonly onPlayed?: (event: TraceEvent, on: HostInfo | null) => void;
}

/** Nothing has moved for so long after the last event, and yet jobs are open: they never will run. */
export const STUCK_AFTER = 1_800 * S;
const SAMPLE_EVERY = 5 * S;
/** Users hear of an end some seconds later. */
const AFTERMATH = 8 * S;

/** How long ago each job was submitted that was in flight when the trace began. */
const beforeOf = (events: readonly TraceEvent[]): ReadonlyMap<string, number> =>
  new Map(
    events.flatMap((event) =>
      event.event === "submit" && event.beforeUs !== undefined ? [[event.job.ref, event.beforeUs] as const] : [],
    ),
  );

/** Decides when a replay is over; asked at every sample. */
const ending = (now: number, request: ReplayRequest, player: Player, ledger: Ledger): Outcome["ended"] | null => {
  const { untilUs, events } = request;
  if (untilUs !== null && now >= untilUs) return "until";
  if (!player.finished) return null;
  if (ledger.openJobs === 0 && player.held === 0 && now >= (events.at(-1)?.at ?? 0) + AFTERMATH) return "finished";
  return now - Math.max(ledger.lastMove, events.at(-1)?.at ?? 0) > STUCK_AFTER ? "stuck" : null;
};

/** Machines that stood at the trace's beginning and have no type or zone in the site simulated. */
const standingRemarks = ({ header, site }: ReplayRequest): Outcome["remarks"] =>
  header.standing.flatMap(({ machine, type, zone }) => {
    const known = site.types.find(({ name }) => name === type);
    if (known === undefined) return [{ line: 1, what: `${machine}: no type ${type} in the site, left out` }];
    return known.zones.includes(zone)
      ? []
      : [{ line: 1, what: `${machine}: zone ${zone} has no ${type} in the site, left out` }];
  });

/** Sets up the machines that stand at the beginning, as far as the site has their type and zone. */
export const standUp = ({ header, site }: ReplayRequest, cloud: CloudService): void => {
  for (const { type, zone, spot } of header.standing) {
    const known = site.types.find(({ name }) => name === type);
    if (known?.zones.includes(zone) === true) cloud.add(known, zone, spot, 0);
  }
};

/** A model as far as a replay needs it: both have the same parts, and differ in how their world runs. */
interface Played {
  readonly world: Simulation;
  readonly cloud: CloudService;
  readonly submit: Stage["submit"];
  readonly others: Omit<Stage, "now" | "after" | "submit" | "machines" | "refuse">;
}

export interface Conducted {
  /** The result; to be asked for once the world has stopped. */
  readonly outcome: (mode: Outcome["mode"], remarks: Outcome["remarks"]) => Outcome;
}

/** Sets the machines up that stand at the beginning, plays the events, and stops the world when it is over. */
export const conduct = (request: ReplayRequest, { world, cloud, submit, others }: Played, books: Ledger): Conducted => {
  const { seed, untilUs, events } = request;
  standUp(request, cloud);
  const before = beforeOf(events);
  const stage: Stage = {
    get now() {
      return world.now;
    },
    after: (delay, run) => world.after(delay, run),
    submit: (job, behaviour) => {
      books.opened(job, before.get(job.ref) ?? 0);
      submit(job, behaviour);
    },
    machines: () => cloud.running().map(({ info }) => info),
    refuse: (type, zone, spot, forUs) => cloud.refuse(type, zone, spot, forUs),
    ...others,
  };
  const player = new Player(stage, events, request.onPlayed);
  books.onEnd = (job) => player.jobEnded(job);
  let ended: Outcome["ended"] | null = null;
  const look = (): void => {
    books.sample();
    request.progress?.(world.now, books);
    ended = ending(world.now, request, player, books);
    if (ended === null) world.after(SAMPLE_EVERY, look);
    else world.stop();
  };
  world.after(0, () => player.start());
  look();
  if (untilUs !== null) {
    world.at(untilUs, () => {
      ended = "until";
      world.stop();
    });
  }
  return {
    outcome: (mode, remarks) =>
      books.outcome({
        mode,
        trace: request.name,
        seed,
        ended: ended ?? "finished",
        unmatched: player.unmatched,
        remarks: [...request.remarks, ...standingRemarks(request), ...remarks],
      }),
  };
};
