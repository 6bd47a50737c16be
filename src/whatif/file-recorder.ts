import { appendFile, mkdir, readdir, rename, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { ClusterEvent } from "../cluster/events.js";
import type { TraceOptions } from "../settings/options.js";
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { describeError, type Log } from "../transport/log.js";
import type { TraceHeader } from "./format.js";
import { traceEventOf } from "./translate.js";

const FLUSH_PERIOD = seconds(1);
/** Lines that wait to be written; beyond it what comes is dropped, counted, and said. */
const MAX_QUEUE = 20_000;
const MB = 1024 * 1024;

/** How files are written; tests put a failing one here. */
export interface RecorderFiles {
  readonly mkdir: (folder: string) => Promise<unknown>;
  readonly write: (file: string, text: string) => Promise<unknown>;
  readonly append: (file: string, text: string) => Promise<unknown>;
  readonly rename: (from: string, to: string) => Promise<unknown>;
  readonly remove: (file: string) => Promise<unknown>;
  readonly list: (folder: string) => Promise<readonly string[]>;
}

const realFiles: RecorderFiles = {
  mkdir: (folder) => mkdir(folder, { recursive: true }),
  write: (file, text) => writeFile(file, text),
  append: (file, text) => appendFile(file, text),
  rename: (from, to) => rename(from, to),
  remove: (file) => rm(file, { force: true }),
  list: (folder) => readdir(folder),
};

/**
 * Keeps what a holder sees as traces in a folder. Never in the way of the service: a bounded queue, one write at a
 * time, and when the disk does not follow, or fails, events are dropped and counted. Each file is a trace of its own,
 * with the same beginning, so that any of them can be read alone or all together (`whatif convert`).
 */
export class FileRecorder {
  private queue: string[] = [];
  private dropped = 0;
  private droppedSaid = 0;
  private writing = false;
  private file: string | null = null;
  private size = 0;
  private number = 0;
  private readonly began: Micros;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly label: string,
    private readonly options: TraceOptions,
    private readonly header: () => TraceHeader | null,
    private readonly files: RecorderFiles = realFiles,
  ) {
    this.began = clock.now();
    this.tick();
  }

  /** For a controller's sink. */
  readonly take = (event: ClusterEvent): void => {
    if (this.queue.length >= MAX_QUEUE) {
      this.dropped += 1;
      return;
    }
    const at = Math.max(0, this.clock.now() - this.began);
    this.queue.push(JSON.stringify(traceEventOf(event, at)));
  };

  private tick(): void {
    void this.flush();
    this.clock.after(FLUSH_PERIOD, () => this.tick());
  }

  /** Writes what has come together; called every second, and by tests. */
  async flush(): Promise<void> {
    // Without the machine types there is no header yet; what comes waits for it.
    if (this.writing || this.queue.length === 0 || this.header() === null) return;
    this.writing = true;
    const lines = this.queue;
    this.queue = [];
    try {
      await this.write(`${lines.join("\n")}\n`);
    } catch (error) {
      this.dropped += lines.length;
      this.file = null;
      this.log.error("trace not written", { error: describeError(error).split("\n")[0] });
    } finally {
      this.writing = false;
    }
    if (this.dropped > this.droppedSaid) {
      this.log.info("trace events dropped", { dropped: this.dropped - this.droppedSaid, all: this.dropped });
      this.droppedSaid = this.dropped;
    }
  }

  private async write(text: string): Promise<void> {
    const { folder, fileMb } = this.options;
    if (this.file !== null && this.size >= fileMb * MB) this.file = null;
    if (this.file === null) {
      const header = this.header();
      if (header === null) throw new Error("machine types unknown");
      await this.files.mkdir(folder);
      await this.rotate();
      const file = join(folder, `${this.prefix}${String(this.number).padStart(6, "0")}.jsonl`);
      const first = `${JSON.stringify(header)}\n`;
      // Whoever looks into the folder finds no file without its header.
      await this.files.write(`${file}.part`, first);
      await this.files.rename(`${file}.part`, file);
      this.file = file;
      this.size = first.length;
    }
    await this.files.append(this.file, text);
    this.size += text.length;
  }

  private get prefix(): string {
    return `trace-${this.label}-`;
  }

  /** The next number, past those of earlier runs; the oldest files go. */
  private async rotate(): Promise<void> {
    const names = (await this.files.list(this.options.folder))
      .filter((name) => name.startsWith(this.prefix) && name.endsWith(".jsonl"))
      .sort();
    const last = Number(names.at(-1)?.slice(this.prefix.length, -".jsonl".length) ?? 0);
    this.number = Math.max(this.number, Number.isFinite(last) ? last : 0) + 1;
    for (const name of names.slice(0, Math.max(0, names.length - this.options.files + 1))) {
      await this.files.remove(join(this.options.folder, name));
    }
  }
}
