/** What became of a job that others await. */
export type Ended = "done" | "cancelled";

interface Node {
  readonly awaits: readonly string[];
  /** Called off by its own record. */
  cancelled: boolean;
  /** Called off by its own record or by that of a job that it needs, directly or through others. */
  withdrawn: boolean;
}

/**
 * Which current jobs await which. Everything here follows from records: jobs below `c/` as a view has them, and last words below
 * `e/` as they are looked up. Nothing of it is stored, and nothing that is told from it is ever taken back: a cancellation stays on
 * record, first with the job and then as its last word, and so does a last word. Iterative throughout, since chains are deep.
 */
export class Chains {
  private readonly nodes = new Map<string, Node>();
  /** By awaited job, whether or not it is current: the current jobs that await it. */
  private readonly children = new Map<string, Set<string>>();
  /** Last words of awaited jobs, as long as somebody current awaits them. */
  private readonly ends = new Map<string, Ended>();
  /** Awaited jobs that are not current, and of which the last word has not been read. */
  private readonly open = new Set<string>();
  /** Told of each job that turns out to be withdrawn with one that it needs. */
  onWithdrawn: (id: string) => void = () => undefined;
  /** Told of each job of which the last awaited one has turned out to be done. */
  onMayBegin: (id: string) => void = () => undefined;

  /** Every current job: one that awaits nothing may come to be awaited, and its cancellation passed on. */
  put(id: string, awaits: readonly string[], cancelled: boolean): void {
    const known = this.nodes.get(id);
    if (known === undefined) {
      const unique = [...new Set(awaits)];
      this.nodes.set(id, { awaits: unique, cancelled, withdrawn: false });
      this.open.delete(id);
      for (const parent of unique) {
        const siblings = this.children.get(parent);
        if (siblings === undefined) this.children.set(parent, new Set([id]));
        else siblings.add(id);
        if (!this.nodes.has(parent) && !this.ends.has(parent)) this.open.add(parent);
      }
    } else known.cancelled ||= cancelled;
    const node = this.nodes.get(id);
    if (node === undefined || node.withdrawn) return;
    const called = node.cancelled || node.awaits.some((parent) => this.calledOff(parent));
    if (called) this.withdraw(id);
  }

  /** No longer current: its last word is below `e/`. */
  remove(id: string): void {
    const node = this.nodes.get(id);
    if (node === undefined) return;
    this.nodes.delete(id);
    for (const parent of node.awaits) {
      const siblings = this.children.get(parent);
      siblings?.delete(id);
      if (siblings?.size !== 0) continue;
      this.children.delete(parent);
      this.ends.delete(parent);
      this.open.delete(parent);
    }
    if (this.children.has(id) && !this.ends.has(id)) this.open.add(id);
  }

  /** The job's last word has been read, or has been confirmed by whoever wrote it. */
  learn(id: string, end: Ended): void {
    const children = this.children.get(id);
    if (children === undefined || this.ends.has(id)) return;
    this.ends.set(id, end);
    this.open.delete(id);
    for (const child of [...children]) {
      if (end === "cancelled") this.withdraw(child);
      else if (this.mayBegin(child)) this.onMayBegin(child);
    }
  }

  private calledOff(id: string): boolean {
    return this.ends.get(id) === "cancelled" || this.nodes.get(id)?.withdrawn === true;
  }

  private withdraw(from: string): void {
    const stack = [from];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const node = this.nodes.get(id);
      if (node === undefined || node.withdrawn) continue;
      node.withdrawn = true;
      if (!node.cancelled) this.onWithdrawn(id);
      for (const child of this.children.get(id) ?? []) stack.push(child);
    }
  }

  /** Needs, directly or through others, a job that is cancelled; or is cancelled itself. */
  isWithdrawn(id: string): boolean {
    return this.nodes.get(id)?.withdrawn === true;
  }

  /** All that it awaits is on record as done. */
  mayBegin(id: string): boolean {
    const node = this.nodes.get(id);
    return node?.awaits.every((parent) => this.ends.get(parent) === "done") ?? false;
  }

  /** Jobs that it awaits, and the current ones that await it. */
  awaitsOf(id: string): readonly string[] {
    return this.nodes.get(id)?.awaits ?? [];
  }

  childrenOf(id: string): ReadonlySet<string> {
    return this.children.get(id) ?? NONE;
  }

  /** Of what it awaits, that which is not known to be done yet. */
  waitsFor(id: string): readonly string[] {
    return this.awaitsOf(id).filter((parent) => this.ends.get(parent) !== "done");
  }

  /** Awaited jobs whose last word has to be read, so that all else here follows. */
  questions(): readonly string[] {
    return [...this.open];
  }

  /** Of those, the ones on which the job's own state rests, directly or through current ones. */
  questionsOf(id: string): readonly string[] {
    if (this.open.size === 0) return [];
    const found = new Set<string>();
    const seen = new Set([id]);
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      for (const parent of this.awaitsOf(next)) {
        if (this.open.has(parent)) found.add(parent);
        if (seen.has(parent)) continue;
        seen.add(parent);
        stack.push(parent);
      }
    }
    return [...found];
  }
}

const NONE: ReadonlySet<string> = new Set();
