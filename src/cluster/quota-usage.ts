/**
 * What teams use of their quotas.
 * @module
 */
import type { JobSpec } from "../protocol/job-spec.js";
import type { Team } from "../settings/settings.js";

/** What a team's placed tasks take up: in the units of `JobSpec.demand`. */
export interface TeamUsage {
  readonly cpu: number;
  readonly gpu: number;
}

const NO_USAGE: TeamUsage = { cpu: 0, gpu: 0 };

/** Sums over the placed tasks of each team, held against the team's limit and guarantee. */
export class QuotaUsage {
  private readonly usageByTeam = new Map<string, TeamUsage>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** What the team uses now. */
  usageOf(team: string): TeamUsage {
    return this.usageByTeam.get(team) ?? NO_USAGE;
  }

  /** Counts a task of the job that was placed (1) or released (-1). */
  add({ team, demand }: JobSpec, sign: 1 | -1): void {
    const used = this.usageOf(team);
    this.usageByTeam.set(team, { cpu: used.cpu + sign * demand.cpu, gpu: used.gpu + sign * demand.gpu });
  }

  /** Whether so many more tasks of the job are within its team's limit. */
  withinLimit({ team, demand }: JobSpec, tasks: number): boolean {
    const limit = this.teams.get(team)?.limit;
    if (limit === undefined) return true;
    const used = this.usageOf(team);
    return (
      (limit.cpu === null || used.cpu + demand.cpu * tasks <= limit.cpu) &&
      (limit.gpu === null || used.gpu + demand.gpu * tasks <= limit.gpu)
    );
  }

  /** Whether one more task of the job is within its team's guarantee. */
  withinGuarantee({ team, demand }: JobSpec): boolean {
    const guaranteed = this.teams.get(team)?.guaranteed;
    if (guaranteed === undefined) return false;
    const used = this.usageOf(team);
    return used.cpu + demand.cpu <= guaranteed.cpu && used.gpu + demand.gpu <= guaranteed.gpu;
  }
}
