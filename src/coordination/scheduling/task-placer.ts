import type { Job } from "../../cluster/job.js";
import type { Candidate, CandidateIndex } from "./candidate-index.js";
import { mayBackfill } from "./capacity-reservation.js";
import { allows, zoneAllowed } from "./eligibility.js";
import { fits } from "./placement/bfgp.js";
import { Ranking } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** One of the narrowings of S_i that are tried in turn. */
interface Narrowing {
  readonly spot: boolean;
  readonly broad: boolean;
  readonly withReplicas: boolean;
}

/**
 * Work that may use spot machines goes there while one fits: the paper leaves the choice of S_i to the
 * operator, and ordinary room is dearer and the only room for the rest. Machines that run replicas stay for
 * long; filling those first lets the others empty and go back.
 */
const NARROWINGS: readonly Narrowing[] = [
  { spot: true, broad: true, withReplicas: false },
  { spot: true, broad: false, withReplicas: false },
  { spot: false, broad: true, withReplicas: true },
  { spot: false, broad: true, withReplicas: false },
  { spot: false, broad: false, withReplicas: false },
];

/** Places a run of one job's tasks, one after the other. */
export interface TaskPlacer {
  nextCandidate(): Candidate | null;
  /** The task is on the server that `next` gave. */
  confirm(candidate: Candidate): void;
}

export const createTaskPlacer = (
  { options, inspection, now }: Pick<SchedulerSnapshot, "options" | "inspection" | "now">,
  job: Job,
  candidateIndex: CandidateIndex,
  counts: Map<string, number>,
): TaskPlacer => {
  const { spec, failedMachines } = job;
  const { kappa } = options;
  const bound = spec.spread || spec.singleZone;
  const usable = candidateIndex.pools.filter((pool) => allows(spec, pool.typeName, pool.zone, pool.spot));
  const failed = ({ machine }: Candidate): boolean =>
    machine.lifecycle.recentFailures.has(spec.id) || failedMachines.has(machine.name);
  // Not where it has just failed, if there is anywhere else: a faulty machine is often the fullest one.
  const choosy = usable.some(({ candidates }) => candidates.some((s) => !failed(s) && fits(spec.demand, s.free)));
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
      if (narrowing.broad && !candidateIndex.broadZones.has(pool.zone)) continue;
      if (bound && !zoneAllowed(spec, counts, pool.zone)) continue;
      total += narrowing.withReplicas ? pool.withReplicas : pool.total;
      for (const candidate of pool.candidates) {
        if (narrowing.withReplicas && candidate.machine.load.replicas === 0) continue;
        if (!mayBackfill(candidateIndex.reservation, job, candidate.machine, now)) continue;
        if (choosy && failed(candidate)) total -= 1;
        else servers.push(candidate);
      }
    }
    return new Ranking(spec, servers, total, kappa, inspection);
  };
  const restart = (): void => {
    at = spec.spot ? 0 : 2;
    ranking = null;
  };
  return {
    nextCandidate: () => {
      if (bound) {
        const now = open();
        if (now !== zones) restart();
        zones = now;
      }
      for (let narrowing = NARROWINGS[at]; narrowing !== undefined; narrowing = NARROWINGS[at]) {
        ranking ??= build(narrowing);
        const candidate = ranking.choose();
        if (candidate !== null) return candidate;
        ranking = null;
        at += 1;
      }
      return null;
    },
    confirm: (candidate) => {
      ranking?.confirmChoice();
      const { machine } = candidate;
      counts.set(machine.zone, Math.floor(counts.get(machine.zone) ?? 0) + 1);
      if (spec.shape !== "service" || machine.load.replicas !== 1) return;
      const pool = usable.find(
        ({ typeName, zone, spot }) => typeName === machine.typeName && zone === machine.zone && spot === machine.spot,
      );
      if (pool !== undefined) pool.withReplicas += 1;
      // It now belongs to those that are filled first.
      restart();
    },
  };
};
