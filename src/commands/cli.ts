import { InvalidArgumentError, Option } from "commander";

/** One line for a person; `misuse` when the call itself was wrong. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly misuse = false,
  ) {
    super(message);
  }
}

export const DONE = 0;
export const REFUSED = 1;
export const MISUSE = 2;

export const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const UNITS: Readonly<Record<string, number>> = { "": 1, ms: 0.001, s: 1, m: 60, h: 3_600, d: 86_400 };

/** `90`, `90s`, `15m`, `1.5h`, `2d` as whole microseconds; a bare number is seconds. */
export const duration = (text: string): number => {
  const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s|m|h|d|)$/.exec(text) ?? [];
  const factor = UNITS[unit ?? "?"];
  if (number === undefined || factor === undefined) throw new InvalidArgumentError("not a time like 90s, 15m or 1.5h");
  return Math.round(Number(number) * factor * 1_000_000);
};

/** An option that is a time; the help shows its default (in microseconds) in seconds, as it would be given. */
export const durationOption = (flags: string, description: string, defaultUs: number): Option =>
  new Option(flags, description).argParser(duration).default(defaultUs, `${defaultUs / 1_000_000}s`);

export const wholeNumber = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError("not a whole number");
  return Number(text);
};

export const positiveNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError("not a number above 0");
  return value;
};

export const collect = (value: string, before: readonly string[]): readonly string[] => [...before, value];

/** Columns aligned by their longest entry; numbers, by their look, to the right. */
export const table = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
  const all = [head, ...rows];
  const widths = head.map((_, at) => Math.max(...all.map((row) => (row[at] ?? "").length)));
  const right = head.map((_, at) => rows.every((row) => /^[-+\d.,%]*\s?[a-zµ%]*$|^-$/.test(row[at] ?? "")));
  const line = (row: readonly string[]): string =>
    row
      .map((entry, at) => (right[at] === true ? entry.padStart(widths[at] ?? 0) : entry.padEnd(widths[at] ?? 0)))
      .join("  ")
      .trimEnd();
  return all.map(line).join("\n");
};

/** Microseconds for a person. */
export const span = (us: number | null): string => {
  if (us === null) return "-";
  const s = us / 1_000_000;
  if (s < 100) return `${s.toFixed(1)} s`;
  if (s < 6_000) return `${(s / 60).toFixed(1)} min`;
  return `${(s / 3_600).toFixed(1)} h`;
};

/** A line that is written over on a terminal, and now and then printed anew elsewhere. */
export class Progress {
  private last = 0;
  private readonly terminal = process.stderr.isTTY === true;

  constructor(private readonly enabled: boolean) {}

  show(text: string): void {
    const now = performance.now();
    if (!this.enabled || now - this.last < (this.terminal ? 200 : 5_000)) return;
    this.last = now;
    process.stderr.write(this.terminal ? `\r\x1b[2K${text}` : `${text}\n`);
  }

  end(): void {
    if (this.enabled && this.terminal && this.last > 0) process.stderr.write("\r\x1b[2K");
  }
}
