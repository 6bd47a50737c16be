/**
 * Quota accounting by team.
 * @module
 */
import type { JobSpec } from "../protocol/job-spec.js";
import type { Team } from "../settings/settings.js";

/** Resources used by a team's placed tasks, in the units of `JobSpec.demand` (thousandths). */
export interface TeamUsage {
  readonly cpu: number;
  readonly gpu: number;
}

const NO_USAGE: TeamUsage = { cpu: 0, gpu: 0 };

/** Running sums over the placed tasks of each team, compared with the team's limit and guarantee. */
export class QuotaUsage {
  private readonly usageByTeam = new Map<string, TeamUsage>();

  constructor(private readonly teams: ReadonlyMap<string, Team>) {}

  /** Current usage of the team. */
  usageOf(team: string): TeamUsage {
    return this.usageByTeam.get(team) ?? NO_USAGE;
  }

  /** Adds (1) or subtracts (-1) the demand of one task of the job. */
  add({ team, demand }: JobSpec, sign: 1 | -1): void {
    const used = this.usageOf(team);
    this.usageByTeam.set(team, { cpu: used.cpu + sign * demand.cpu, gpu: used.gpu + sign * demand.gpu });
  }

  /** Whether `tasks` more tasks of the job fit within its team's limit; always true for a team without one. */
  withinLimit({ team, demand }: JobSpec, tasks: number): boolean {
    const limit = this.teams.get(team)?.limit;
    if (limit === undefined) return true;
    const used = this.usageOf(team);
    return (
      (limit.cpu === null || used.cpu + demand.cpu * tasks <= limit.cpu) &&
      (limit.gpu === null || used.gpu + demand.gpu * tasks <= limit.gpu)
    );
  }

  /** Whether one more task of the job fits within its team's guarantee; always false for a team without one. */
  withinGuarantee({ team, demand }: JobSpec): boolean {
    const guaranteed = this.teams.get(team)?.guaranteed;
    if (guaranteed === undefined) return false;
    const used = this.usageOf(team);
    return used.cpu + demand.cpu <= guaranteed.cpu && used.gpu + demand.gpu <= guaranteed.gpu;
  }
}
