/** Memory budget of a controller's process, from which the limit of its heap follows. */

/** Program and libraries of Node, mapped from files. */
const PROGRAM_MB = 50;
/** Upper bound on compiled code, stacks, buffers and other memory outside the heap, apart from connections. */
const OUTSIDE_HEAP_MB = 16;
/** Young generation: three semi-spaces of 4 MB (`--max-semi-space-size` in `deploy/service.toml`). */
const YOUNG_GENERATION_MB = 12;
/** Memory outside the heap for the handle, parser and buffers of one connection. */
const CONNECTION_KB = 2;
const KB_PER_MB = 1_024;
/** Share of the old generation for the tasks of the shard that the process leads. */
const TASKS_SHARE = 0.3;
/** Upper bound on the heap that a leader uses for a task: its state, its record in the watch cache, and its report. */
export const TASK_BYTES = 600;

/** Limits of a controller's process from which its memory budget is computed. */
export interface MemoryQuota {
  /** Limit on the total memory of the process, in MB. */
  readonly memoryMb: number;
  readonly maxConnections: number;
}

/** Largest limit of the old generation (`--max-old-space-size`, in MB) that keeps the process within its memory. */
export const maxHeapMb = ({ memoryMb, maxConnections }: MemoryQuota): number => {
  const connectionsMb = (maxConnections * CONNECTION_KB) / KB_PER_MB;
  return Math.floor(memoryMb - PROGRAM_MB - OUTSIDE_HEAP_MB - YOUNG_GENERATION_MB - connectionsMb);
};

/** Limit of the old generation, in MB, of a heap whose total limit is given in bytes. */
export const oldGenerationMb = (heapLimitBytes: number): number =>
  Math.floor(heapLimitBytes / KB_PER_MB / KB_PER_MB) - YOUNG_GENERATION_MB;

/** Number of tasks that the leader of a shard may hold in memory with an old generation of this limit in MB. */
export const maxTasksInMemory = (heapMb: number): number =>
  Math.floor((heapMb * KB_PER_MB * KB_PER_MB * TASKS_SHARE) / TASK_BYTES);
