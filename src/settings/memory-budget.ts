/** The memory that a controller may use, by owner, and what of it is left for the heap. */

/** Node's program and libraries, mapped from files. */
const PROGRAM_MB = 50;
/** Compiled code, stacks, buffers and what else is allocated outside the heap, at most. */
const OUTSIDE_HEAP_MB = 16;
/** Young generation: three semi-spaces of 4 MB (`--max-semi-space-size` in `deploy/service.toml`). */
const YOUNG_GENERATION_MB = 12;
/** Handle, parser and buffers of one connection outside the heap, in KB. */
const CONNECTION_KB = 2;
const KB_PER_MB = 1_024;

/** The limits of a controller's process that its memory depends on. */
export interface MemoryQuota {
  /** Memory that the process may use in all, in MB. */
  readonly memoryMb: number;
  readonly maxConnections: number;
}

/** The largest limit of the old generation (`--max-old-space-size`, in MB) with which the process stays within its memory. */
export const maxHeapMb = ({ memoryMb, maxConnections }: MemoryQuota): number => {
  const connectionsMb = (maxConnections * CONNECTION_KB) / KB_PER_MB;
  return Math.floor(memoryMb - PROGRAM_MB - OUTSIDE_HEAP_MB - YOUNG_GENERATION_MB - connectionsMb);
};

/** The limit of the old generation, in MB, of a heap whose limit in all is given in bytes. */
export const oldGenerationMb = (heapLimitBytes: number): number =>
  Math.floor(heapLimitBytes / KB_PER_MB / KB_PER_MB) - YOUNG_GENERATION_MB;
