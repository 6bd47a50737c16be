/**
 * Choice of machines for the tasks of one job, one after the other: Algorithm 1 of the paper over sets of machines (its
 * S_i), tried in order of preference, the last being all machines that the job may use.
 */
import type { Job } from "../../cluster/job.js";
import type { Resources } from "../../protocol/resources.js";
import type { Candidate, CandidateIndex, MachinePool } from "./candidate-index.js";
import { mayBackfill } from "./capacity-reservation.js";
import { jobAllowsMachine, zoneAllowed } from "./eligibility.js";
import { Ranking } from "./placement/ranking.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Selects one of the subsets of S_i that are tried in order. */
interface CandidateFilter {
  readonly spotOnly: boolean;
  readonly zonesWithMostTypesOnly: boolean;
  readonly withReplicasOnly: boolean;
}

/**
 * Jobs that may use spot machines prefer them: on-demand machines cost more and are the only ones that other jobs may
 * use (the paper leaves the choice of S_i to the operator). Machines that run replicas are kept for long; filling them
 * first lets the other machines become empty and be scaled in.
 */
const FILTERS: readonly CandidateFilter[] = [
  { spotOnly: true, zonesWithMostTypesOnly: true, withReplicasOnly: false },
  { spotOnly: true, zonesWithMostTypesOnly: false, withReplicasOnly: false },
  { spotOnly: false, zonesWithMostTypesOnly: true, withReplicasOnly: true },
  { spotOnly: false, zonesWithMostTypesOnly: true, withReplicasOnly: false },
  { spotOnly: false, zonesWithMostTypesOnly: false, withReplicasOnly: false },
];

/** A faulty machine has no capacity left after its trial task. */
const NO_CAPACITY: Resources = { cpu: -1, gpu: -1, ram: -1 };

/** Index of the first filter of jobs that may not use spot machines. */
const FIRST_ON_DEMAND_FILTER = 2;

/** Chooses machines for the tasks of one job, one after the other. */
export class TaskPlacer {
  private readonly pools: readonly MachinePool[];
  /** Whether the zones that the job may use depend on where its tasks are. */
  private readonly isZoneBound: boolean;
  private openZones = "";
  /**
   * Whether doubtful machines are used as well: those on which the job failed, and faulty ones for a trial. Only where
   * no other machine that the rules allow has capacity: best fit prefers full machines, often the faulty one.
   */
  private usesDoubtful = false;
  /** Whether doubtful machines have been left out since the first filter. */
  private hasSkipped = false;
  private filterIndex: number;
  private ranking: Ranking<Candidate> | null = null;

  /** `zoneTaskCounts`: the job's tasks by zone, updated as placements are confirmed. */
  constructor(
    private readonly snapshot: Pick<SchedulerSnapshot, "options" | "inspection" | "now">,
    private readonly job: Job,
    private readonly candidateIndex: CandidateIndex,
    private readonly zoneTaskCounts: Map<string, number>,
  ) {
    const { spec } = job;
    this.isZoneBound = spec.spread || spec.singleZone;
    this.pools = candidateIndex.pools.filter((pool) => jobAllowsMachine(spec, pool.typeName, pool.zone, pool.spot));
    this.filterIndex = this.firstFilterIndex();
  }

  /** The machine for the job's next task; null where none has capacity. */
  nextCandidate(): Candidate | null {
    if (this.isZoneBound) this.updateOpenZones();
    const candidate = this.nextByFilter();
    if (candidate !== null || this.usesDoubtful || !this.hasSkipped) return candidate;
    this.restart();
    this.usesDoubtful = true;
    return this.nextByFilter();
  }

  private nextByFilter(): Candidate | null {
    for (let filter = FILTERS[this.filterIndex]; filter !== undefined; filter = FILTERS[this.filterIndex]) {
      this.ranking ??= this.rank(filter);
      const candidate = this.ranking.choose();
      if (candidate !== null) return candidate;
      this.ranking = null;
      this.filterIndex += 1;
    }
    return null;
  }

  /** Records that the task was placed on the machine that `nextCandidate` returned. */
  confirm(candidate: Candidate): void {
    const { machine } = candidate;
    if (candidate.onTrial) candidate.free = NO_CAPACITY;
    this.ranking?.confirmChoice();
    this.zoneTaskCounts.set(machine.zone, Math.floor(this.zoneTaskCounts.get(machine.zone) ?? 0) + 1);
    if (this.job.spec.shape !== "service" || machine.load.replicas !== 1) return;
    const pool = this.pools.find(
      ({ typeName, zone, spot }) => typeName === machine.typeName && zone === machine.zone && spot === machine.spot,
    );
    if (pool !== undefined) pool.machinesWithReplicas += 1;
    // With its first replica the machine joins those that are filled first.
    this.restart();
  }

  private firstFilterIndex(): number {
    return this.job.spec.spot ? 0 : FIRST_ON_DEMAND_FILTER;
  }

  private restart(): void {
    this.filterIndex = this.firstFilterIndex();
    this.ranking = null;
    this.usesDoubtful = false;
    this.hasSkipped = false;
  }

  /** Whether the candidate is left out now. A gang is no trial: all of it would fail with one task. */
  private isSkipped(candidate: Candidate): boolean {
    if (candidate.onTrial && this.job.spec.shape === "gang") return true;
    return !this.usesDoubtful && (candidate.onTrial || this.hasFailedOn(candidate));
  }

  private hasFailedOn({ machine }: Candidate): boolean {
    return machine.lifecycle.recentFailures.has(this.job.spec.id) || this.job.failedMachines.has(machine.name);
  }

  /** Restarts with the first filter when the zones that the job may use have changed. */
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
    if (filter.zonesWithMostTypesOnly && !this.candidateIndex.zonesWithMostTypes.has(pool.zone)) return false;
    return !this.isZoneBound || zoneAllowed(this.job.spec, this.zoneTaskCounts, pool.zone);
  }

  /** Ranks the candidates that pass the filter; |S_i| includes machines without capacity. */
  // biome-ignore lint/complexity/noExcessiveCognitiveComplexity: hot loop: inline filters save a call for each candidate and job
  private rank(filter: CandidateFilter): Ranking<Candidate> {
    const { job, candidateIndex, snapshot } = this;
    const candidates: Candidate[] = [];
    let total = 0;
    for (const pool of this.pools) {
      if (!this.passes(pool, filter)) continue;
      total += filter.withReplicasOnly ? pool.machinesWithReplicas : pool.machineCount;
      for (const candidate of pool.candidates) {
        if (filter.withReplicasOnly && candidate.machine.load.replicas === 0) continue;
        if (!mayBackfill(candidateIndex.reservation, job, candidate.machine, snapshot.now)) continue;
        if (!this.isSkipped(candidate)) {
          candidates.push(candidate);
          continue;
        }
        total -= 1;
        this.hasSkipped = true;
      }
    }
    return new Ranking(job.spec, candidates, total, snapshot.options.kappa, snapshot.inspection);
  }
}
