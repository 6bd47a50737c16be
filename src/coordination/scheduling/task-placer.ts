/**
 * Choice of machines for the tasks of one job, one after the other: Algorithm 1 of the paper over sets of machines (its
 * S_i) that are tried from the narrowest preference to all that the job may use.
 */
import type { Job } from "../../cluster/job.js";
import type { Candidate, CandidateIndex, MachinePool } from "./candidate-index.js";
import { mayBackfill } from "./capacity-reservation.js";
import { allows, zoneAllowed } from "./eligibility.js";
import { fits } from "./placement/bfgp.js";
import { Ranking } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** One of the subsets of S_i that are tried in turn. */
interface CandidateFilter {
  readonly spotOnly: boolean;
  readonly broadZonesOnly: boolean;
  readonly withReplicasOnly: boolean;
}

/**
 * Work that may use spot machines goes there while one fits: the paper leaves the choice of S_i to the operator, and
 * ordinary machines are dearer and the only ones for the rest. Machines that run replicas stay for long; filling those
 * first lets the others become empty and be scaled in.
 */
const FILTERS: readonly CandidateFilter[] = [
  { spotOnly: true, broadZonesOnly: true, withReplicasOnly: false },
  { spotOnly: true, broadZonesOnly: false, withReplicasOnly: false },
  { spotOnly: false, broadZonesOnly: true, withReplicasOnly: true },
  { spotOnly: false, broadZonesOnly: true, withReplicasOnly: false },
  { spotOnly: false, broadZonesOnly: false, withReplicasOnly: false },
];

/** The first filter of jobs that may not use spot machines. */
const FIRST_ORDINARY_FILTER = 2;

/** Places a run of one job's tasks, one after the other. */
export class TaskPlacer {
  private readonly pools: readonly MachinePool[];
  /** The zones open to a job depend on where its tasks are. */
  private readonly isZoneBound: boolean;
  /** Machines where the job has just failed are left out: there is another with capacity. */
  private readonly skipsFailed: boolean;
  private openZones = "";
  private filterIndex: number;
  private ranking: Ranking<Candidate> | null = null;

  /** `zoneTaskCounts`: the job's tasks by zone, changed as tasks are confirmed. */
  constructor(
    private readonly snapshot: Pick<SchedulerSnapshot, "options" | "inspection" | "now">,
    private readonly job: Job,
    private readonly candidateIndex: CandidateIndex,
    private readonly zoneTaskCounts: Map<string, number>,
  ) {
    const { spec } = job;
    this.isZoneBound = spec.spread || spec.singleZone;
    this.pools = candidateIndex.pools.filter((pool) => allows(spec, pool.typeName, pool.zone, pool.spot));
    // Not where it has just failed, if there is anywhere else: a faulty machine is often the fullest one.
    this.skipsFailed = this.pools.some(({ candidates }) =>
      candidates.some((candidate) => !this.hasFailedOn(candidate) && fits(spec.demand, candidate.free)),
    );
    this.filterIndex = this.firstFilterIndex();
  }

  /** The machine for the job's next task; null where none has capacity. */
  nextCandidate(): Candidate | null {
    if (this.isZoneBound) this.updateOpenZones();
    for (let filter = FILTERS[this.filterIndex]; filter !== undefined; filter = FILTERS[this.filterIndex]) {
      this.ranking ??= this.rank(filter);
      const candidate = this.ranking.choose();
      if (candidate !== null) return candidate;
      this.ranking = null;
      this.filterIndex += 1;
    }
    return null;
  }

  /** The task is on the machine that `nextCandidate` returned. */
  confirm({ machine }: Candidate): void {
    this.ranking?.confirmChoice();
    this.zoneTaskCounts.set(machine.zone, Math.floor(this.zoneTaskCounts.get(machine.zone) ?? 0) + 1);
    if (this.job.spec.shape !== "service" || machine.load.replicas !== 1) return;
    const pool = this.pools.find(
      ({ typeName, zone, spot }) => typeName === machine.typeName && zone === machine.zone && spot === machine.spot,
    );
    if (pool !== undefined) pool.withReplicas += 1;
    // It now belongs to those that are filled first.
    this.restart();
  }

  private firstFilterIndex(): number {
    return this.job.spec.spot ? 0 : FIRST_ORDINARY_FILTER;
  }

  private restart(): void {
    this.filterIndex = this.firstFilterIndex();
    this.ranking = null;
  }

  private hasFailedOn({ machine }: Candidate): boolean {
    return machine.lifecycle.recentFailures.has(this.job.spec.id) || this.job.failedMachines.has(machine.name);
  }

  /** Starts over once other zones are open to the job than before. */
  private updateOpenZones(): void {
    const openZones = this.pools
      .filter((pool) => zoneAllowed(this.job.spec, this.zoneTaskCounts, pool.zone))
      .map(({ zone }) => zone)
      .join();
    if (openZones !== this.openZones) this.restart();
    this.openZones = openZones;
  }

  private passes(pool: MachinePool, filter: CandidateFilter): boolean {
    if (filter.spotOnly && !pool.spot) return false;
    if (filter.broadZonesOnly && !this.candidateIndex.broadZones.has(pool.zone)) return false;
    return !this.isZoneBound || zoneAllowed(this.job.spec, this.zoneTaskCounts, pool.zone);
  }

  /** Ranks the candidates that pass the filter; |S_i| counts the machines without capacity, too. */
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: walks every candidate for each job: filters stand inline to call nothing for each
  private rank(filter: CandidateFilter): Ranking<Candidate> {
    const { job, candidateIndex, snapshot } = this;
    const candidates: Candidate[] = [];
    let total = 0;
    for (const pool of this.pools) {
      if (!this.passes(pool, filter)) continue;
      total += filter.withReplicasOnly ? pool.withReplicas : pool.total;
      for (const candidate of pool.candidates) {
        if (filter.withReplicasOnly && candidate.machine.load.replicas === 0) continue;
        if (!mayBackfill(candidateIndex.reservation, job, candidate.machine, snapshot.now)) continue;
        if (this.skipsFailed && this.hasFailedOn(candidate)) total -= 1;
        else candidates.push(candidate);
      }
    }
    return new Ranking(job.spec, candidates, total, snapshot.options.kappa, snapshot.inspection);
  }
}
