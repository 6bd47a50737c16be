/**
 * The dependencies between current jobs.
 * @module
 */
/** How a job on which others depend has ended. */
export type TerminalPhase = "done" | "cancelled";

interface Node {
  readonly dependencies: readonly string[];
  /** Cancelled by its own record. */
  cancelledItself: boolean;
  /** Cancelled by its own record or by that of a job on which it depends, directly or through others. */
  cancelled: boolean;
}

/**
 * Which current jobs depend on which. Everything here follows from records: jobs below `c/` as the watch cache has them, and
 * outcomes below `e/` as they are looked up. Nothing of it is stored, and no state that is reported from it is ever revoked:
 * a cancellation stays on record, first with the job and then as its outcome, and so does an outcome. Iterative throughout,
 * since dependencies can be a hundred thousand deep.
 */
export class DependencyGraph {
  private readonly jobs = new Map<string, Node>();
  /** By job, whether or not it is current: the current jobs that depend on it. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Terminal phases of dependencies, as long as a current job depends on them. */
  private readonly terminalPhases = new Map<string, TerminalPhase>();
  /** Dependencies that are not current, and whose outcome has not been read. */
  private readonly unresolvedIds = new Set<string>();
  /** Called with each job that turns out to be cancelled with a dependency. */
  onCancelledByDependency: (id: string) => void = () => undefined;
  /** Called with each job whose last dependency has turned out to be done. */
  onReady: (id: string) => void = () => undefined;

  /** Adds or updates a current job, also one without dependencies: others may come to depend on it. */
  upsert(id: string, dependencyIds: readonly string[], cancelled: boolean): void {
    const known = this.jobs.get(id);
    if (known === undefined) {
      const unique = [...new Set(dependencyIds)];
      this.jobs.set(id, { dependencies: unique, cancelledItself: cancelled, cancelled: false });
      this.unresolvedIds.delete(id);
      for (const parent of unique) {
        const siblings = this.dependents.get(parent);
        if (siblings === undefined) this.dependents.set(parent, new Set([id]));
        else siblings.add(id);
        if (!this.jobs.has(parent) && !this.terminalPhases.has(parent)) this.unresolvedIds.add(parent);
      }
    } else known.cancelledItself ||= cancelled;
    const node = this.jobs.get(id);
    if (node === undefined || node.cancelled) return;
    const isCancelled = node.cancelledItself || node.dependencies.some((parent) => this.isDependencyCancelled(parent));
    if (isCancelled) this.cancelWithDependents(id);
  }

  /** The job is no longer current: its outcome is below `e/`. */
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

  /** The job's outcome has been read, or its write has been confirmed. */
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

  /** Whether the job, or one on which it depends directly or through others, is cancelled. */
  isCancelled(id: string): boolean {
    return this.jobs.get(id)?.cancelled === true;
  }

  /** Whether all dependencies of the job are on record as done. */
  isReady(id: string): boolean {
    const node = this.jobs.get(id);
    return node?.dependencies.every((parent) => this.terminalPhases.get(parent) === "done") ?? false;
  }

  /** The jobs on which it depends itself. */
  dependenciesOf(id: string): readonly string[] {
    return this.jobs.get(id)?.dependencies ?? [];
  }

  /** The current jobs that depend on it themselves. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** Those of its dependencies that are not known to be done yet. */
  unmetDependencies(id: string): readonly string[] {
    return this.dependenciesOf(id).filter((parent) => this.terminalPhases.get(parent) !== "done");
  }

  /** Dependencies whose outcomes have to be read, so that all else here follows. */
  unresolved(): readonly string[] {
    return [...this.unresolvedIds];
  }

  /** Those of `unresolved` on which the job's own state rests, directly or through current jobs. */
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
