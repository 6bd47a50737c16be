/** What became of a job that others await. */
export type TerminalPhase = "done" | "cancelled";

interface Node {
  readonly dependencies: readonly string[];
  /** Called off by its own record. */
  cancelledItself: boolean;
  /** Called off by its own record or by that of a job that it needs, directly or through others. */
  cancelled: boolean;
}

/**
 * Which current jobs await which. Everything here follows from records: jobs below `c/` as a view has them, and last words below
 * `e/` as they are looked up. Nothing of it is stored, and nothing that is told from it is ever taken back: a cancellation stays on
 * record, first with the job and then as its last word, and so does a last word. Iterative throughout, since chains are deep.
 */
export class DependencyGraph {
  private readonly jobs = new Map<string, Node>();
  /** By awaited job, whether or not it is current: the current jobs that await it. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Last words of awaited jobs, as long as somebody current awaits them. */
  private readonly terminalPhases = new Map<string, TerminalPhase>();
  /** Awaited jobs that are not current, and of which the last word has not been read. */
  private readonly unresolvedIds = new Set<string>();
  /** Told of each job that turns out to be withdrawn with one that it needs. */
  onCancelledByDependency: (id: string) => void = () => undefined;
  /** Told of each job of which the last awaited one has turned out to be done. */
  onReady: (id: string) => void = () => undefined;

  /** Every current job: one that awaits nothing may come to be awaited, and its cancellation passed on. */
  upsert(id: string, awaits: readonly string[], cancelled: boolean): void {
    const known = this.jobs.get(id);
    if (known === undefined) {
      const unique = [...new Set(awaits)];
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
    const called = node.cancelledItself || node.dependencies.some((parent) => this.isDependencyCancelled(parent));
    if (called) this.cancelWithDependents(id);
  }

  /** No longer current: its last word is below `e/`. */
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

  /** The job's last word has been read, or has been confirmed by whoever wrote it. */
  recordTerminalPhase(id: string, end: TerminalPhase): void {
    const children = this.dependents.get(id);
    if (children === undefined || this.terminalPhases.has(id)) return;
    this.terminalPhases.set(id, end);
    this.unresolvedIds.delete(id);
    for (const child of [...children]) {
      if (end === "cancelled") this.cancelWithDependents(child);
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

  /** Needs, directly or through others, a job that is cancelled; or is cancelled itself. */
  isCancelled(id: string): boolean {
    return this.jobs.get(id)?.cancelled === true;
  }

  /** All that it awaits is on record as done. */
  isReady(id: string): boolean {
    const node = this.jobs.get(id);
    return node?.dependencies.every((parent) => this.terminalPhases.get(parent) === "done") ?? false;
  }

  /** Jobs that it awaits, and the current ones that await it. */
  dependenciesOf(id: string): readonly string[] {
    return this.jobs.get(id)?.dependencies ?? [];
  }

  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** Of what it awaits, that which is not known to be done yet. */
  unmetDependencies(id: string): readonly string[] {
    return this.dependenciesOf(id).filter((parent) => this.terminalPhases.get(parent) !== "done");
  }

  /** Awaited jobs whose last word has to be read, so that all else here follows. */
  unresolved(): readonly string[] {
    return [...this.unresolvedIds];
  }

  /** Of those, the ones on which the job's own state rests, directly or through current ones. */
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
