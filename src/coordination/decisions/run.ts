import type { Job } from "../../bookkeeping/picture.js";
import { fits } from "../placement/bfgp.js";
import { Ranking } from "../placement/ranking.js";
import { allows, zoneAllowed } from "./eligibility.js";
import type { Candidate, Floor } from "./floor.js";
import type { Picture } from "./picture.js";
import { mayFill } from "./reservation.js";

/** One of the narrowings of S_i that are tried in turn. */
interface Narrowing {
  readonly spot: boolean;
  readonly broad: boolean;
  readonly staying: boolean;
}

/**
 * Work that may use spot machines goes there while one fits: the paper leaves the choice of S_i to the
 * operator, and ordinary room is dearer and the only room for the rest. Machines that run replicas stay for
 * long; filling those first lets the others empty and go back.
 */
const NARROWINGS: readonly Narrowing[] = [
  { spot: true, broad: true, staying: false },
  { spot: true, broad: false, staying: false },
  { spot: false, broad: true, staying: true },
  { spot: false, broad: true, staying: false },
  { spot: false, broad: false, staying: false },
];

/** Places a run of one job's tasks, one after the other. */
export interface Run {
  next(): Candidate | null;
  /** The task is on the server that `next` gave. */
  taken(server: Candidate): void;
}

export const startRun = (
  { options, work, now }: Pick<Picture, "options" | "work" | "now">,
  job: Job,
  floor: Floor,
  counts: Map<string, number>,
): Run => {
  const { spec, failedOn } = job;
  const { kappa } = options;
  const bound = spec.spread || spec.oneZone;
  const usable = floor.pools.filter((pool) => allows(spec, pool.typeName, pool.zone, pool.spot));
  const failed = ({ machine }: Candidate): boolean => machine.failures.has(spec.id) || failedOn.has(machine.name);
  // Not where it has just failed, if there is anywhere else: a faulty machine is often the fullest one.
  const choosy = usable.some(({ roomy }) => roomy.some((s) => !failed(s) && fits(spec.demand, s.free)));
  const open = (): string =>
    usable
      .filter((pool) => zoneAllowed(spec, counts, pool.zone))
      .map(({ zone }) => zone)
      .join();
  let zones = "";
  let at = spec.spot ? 0 : 2;
  let ranking: Ranking<Candidate> | null = null;
  const build = (narrowing: Narrowing): Ranking<Candidate> => {
    const servers: Candidate[] = [];
    let total = 0;
    for (const pool of usable) {
      if (narrowing.spot && !pool.spot) continue;
      if (narrowing.broad && !floor.broad.has(pool.zone)) continue;
      if (bound && !zoneAllowed(spec, counts, pool.zone)) continue;
      total += narrowing.staying ? pool.staying : pool.total;
      for (const server of pool.roomy) {
        if (narrowing.staying && server.machine.replicas === 0) continue;
        if (!mayFill(floor.reservation, job, server.machine, now)) continue;
        if (choosy && failed(server)) total -= 1;
        else servers.push(server);
      }
    }
    return new Ranking(spec, servers, total, kappa, work);
  };
  const restart = (): void => {
    at = spec.spot ? 0 : 2;
    ranking = null;
  };
  return {
    next: () => {
      if (bound) {
        const now = open();
        if (now !== zones) restart();
        zones = now;
      }
      for (let narrowing = NARROWINGS[at]; narrowing !== undefined; narrowing = NARROWINGS[at]) {
        ranking ??= build(narrowing);
        const server = ranking.choose();
        if (server !== null) return server;
        ranking = null;
        at += 1;
      }
      return null;
    },
    taken: (server) => {
      ranking?.taken();
      const { machine } = server;
      counts.set(machine.zone, Math.floor(counts.get(machine.zone) ?? 0) + 1);
      if (spec.shape !== "service" || machine.replicas !== 1) return;
      const pool = usable.find(
        ({ typeName, zone, spot }) => typeName === machine.typeName && zone === machine.zone && spot === machine.spot,
      );
      if (pool !== undefined) pool.staying += 1;
      // It now belongs to those that are filled first.
      restart();
    },
  };
};
