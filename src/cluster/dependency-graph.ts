/**
 * Dependency graph of the current jobs.
 * @module
 */
/** Terminal phase of a job on which other jobs depend. */
export type TerminalPhase = "done" | "cancelled";

interface JobNode {
  readonly dependencies: readonly string[];
  /** Cancelled by its own record. */
  cancelledItself: boolean;
  /** Cancelled by its own record or by that of a direct or transitive dependency. */
  cancelled: boolean;
}

/**
 * Dependency graph of the current jobs. It is derived from records alone: job records below `c/` in the watch cache and
 * outcome records below `e/`, which are looked up. The graph itself is not stored. A state reported from it is never
 * revoked, because a cancellation stays on record (first in the job record, then in the outcome record), and so does an
 * outcome. All traversals are iterative, since dependency chains can be a hundred thousand jobs long.
 */
export class DependencyGraph {
  private readonly jobs = new Map<string, JobNode>();
  /** For each job, current or not: the current jobs that depend on it directly. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Known terminal phases of dependencies, kept while a current job depends on them. */
  private readonly terminalPhases = new Map<string, TerminalPhase>();
  /** Dependencies that are not current and whose outcome record has not been read yet. */
  private readonly unresolvedIds = new Set<string>();
  /** Called with each job that is cancelled because a dependency of it is cancelled. */
  onCancelledByDependency: (id: string) => void = () => undefined;
  /** Called with each job once all of its dependencies are known to be done. */
  onReady: (id: string) => void = () => undefined;

  /** Adds or updates a current job. Jobs without dependencies are added too, because later jobs may depend on them. */
  upsert(id: string, dependencyIds: readonly string[], cancelled: boolean): void {
    const existing = this.jobs.get(id);
    if (existing === undefined) {
      const unique = [...new Set(dependencyIds)];
      this.jobs.set(id, { dependencies: unique, cancelledItself: cancelled, cancelled: false });
      this.unresolvedIds.delete(id);
      for (const parent of unique) {
        const siblings = this.dependents.get(parent);
        if (siblings === undefined) this.dependents.set(parent, new Set([id]));
        else siblings.add(id);
        if (!this.jobs.has(parent) && !this.terminalPhases.has(parent)) this.unresolvedIds.add(parent);
      }
    } else existing.cancelledItself ||= cancelled;
    const node = this.jobs.get(id);
    if (node === undefined || node.cancelled) return;
    const isCancelled = node.cancelledItself || node.dependencies.some((parent) => this.isDependencyCancelled(parent));
    if (isCancelled) this.cancelWithDependents(id);
  }

  /** Removes a job that is no longer current because its outcome record exists below `e/`. */
  remove(id: string): void {
    const node = this.jobs.get(id);
    if (node === undefined) return;
    this.jobs.delete(id);
    for (const parent of node.dependencies) {
      const siblings = this.dependents.get(parent);
      siblings?.delete(id);
      if (siblings?.size !== 0) continue;
      this.dependents.delete(parent);
      this.terminalPhases.delete(parent);
      this.unresolvedIds.delete(parent);
    }
    if (this.dependents.has(id) && !this.terminalPhases.has(id)) this.unresolvedIds.add(id);
  }

  /** Records the outcome of a job once its outcome record has been read, or the write of that record confirmed. */
  recordTerminalPhase(id: string, phase: TerminalPhase): void {
    const children = this.dependents.get(id);
    if (children === undefined || this.terminalPhases.has(id)) return;
    this.terminalPhases.set(id, phase);
    this.unresolvedIds.delete(id);
    for (const child of [...children]) {
      if (phase === "cancelled") this.cancelWithDependents(child);
      else if (this.isReady(child)) this.onReady(child);
    }
  }

  private isDependencyCancelled(id: string): boolean {
    return this.terminalPhases.get(id) === "cancelled" || this.jobs.get(id)?.cancelled === true;
  }

  private cancelWithDependents(from: string): void {
    const stack = [from];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const node = this.jobs.get(id);
      if (node === undefined || node.cancelled) continue;
      node.cancelled = true;
      if (!node.cancelledItself) this.onCancelledByDependency(id);
      for (const child of this.dependents.get(id) ?? []) stack.push(child);
    }
  }

  /** Whether the job, or a direct or transitive dependency of it, is cancelled. */
  isCancelled(id: string): boolean {
    return this.jobs.get(id)?.cancelled === true;
  }

  /** Whether all dependencies of the job are on record as done; false for a job that is not current. */
  isReady(id: string): boolean {
    const node = this.jobs.get(id);
    return node?.dependencies.every((parent) => this.terminalPhases.get(parent) === "done") ?? false;
  }

  /** The job's direct dependencies. */
  dependenciesOf(id: string): readonly string[] {
    return this.jobs.get(id)?.dependencies ?? [];
  }

  /** The current jobs that depend on it directly. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** The direct dependencies that are not known to be done. */
  unmetDependencies(id: string): readonly string[] {
    return this.dependenciesOf(id).filter((parent) => this.terminalPhases.get(parent) !== "done");
  }

  /** Dependencies whose outcome records must still be read before the state of their dependents is known. */
  unresolved(): readonly string[] {
    return [...this.unresolvedIds];
  }

  /** The subset of `unresolved` that determines the job's own state, directly or through current jobs. */
  unresolvedFor(id: string): readonly string[] {
    if (this.unresolvedIds.size === 0) return [];
    const found = new Set<string>();
    const seen = new Set([id]);
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      for (const parent of this.dependenciesOf(next)) {
        if (this.unresolvedIds.has(parent)) found.add(parent);
        if (seen.has(parent)) continue;
        seen.add(parent);
        stack.push(parent);
      }
    }
    return [...found];
  }
}

const NO_DEPENDENTS: ReadonlySet<string> = new Set();
