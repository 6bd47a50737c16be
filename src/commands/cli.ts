/** Common parts of the commands: exit statuses, parsers of flag values, output and progress. */
import { InvalidArgumentError, Option } from "commander";

/** A command failed. The message is one line; `misuse` means that the arguments or the files they name are invalid. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly isMisuse = false,
  ) {
    super(message);
  }
}

/** Exit statuses: success, a refusal or failure, and invalid arguments. */
export const EXIT_SUCCESS = 0;
export const EXIT_FAILURE = 1;
export const EXIT_MISUSE = 2;

/** Prints a line to standard output. */
export const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const SECONDS_PER_UNIT: Readonly<Record<string, number>> = { "": 1, ms: 0.001, s: 1, m: 60, h: 3_600, d: 86_400 };

/** Parses a time such as `90`, `90s`, `15m`, `1.5h` or `2d` into whole microseconds; a bare number is in seconds. */
export const parseDuration = (text: string): number => {
  const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s|m|h|d|)$/.exec(text) ?? [];
  const factor = SECONDS_PER_UNIT[unit ?? "?"];
  if (number === undefined || factor === undefined) throw new InvalidArgumentError("not a time like 90s, 15m or 1.5h");
  return Math.round(Number(number) * factor * 1_000_000);
};

/** An option that takes a time. The help shows the default, given here in microseconds, in seconds. */
export const durationOption = (flags: string, description: string, defaultUs: number): Option =>
  new Option(flags, description).argParser(parseDuration).default(defaultUs, `${defaultUs / 1_000_000}s`);

/** Parses a non-negative integer of at most nine digits. */
export const parseWholeNumber = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError("not a whole number");
  return Number(text);
};

/** Parses a finite number above 0. */
export const parsePositiveNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError("not a number above 0");
  return value;
};

/** Parser of a repeatable option: appends each value to those before it. */
export const appendValue = (value: string, before: readonly string[]): readonly string[] => [...before, value];

/** Text table with columns as wide as their longest entry; columns of numbers, with or without units, align right. */
export const formatTable = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
  const allRows = [head, ...rows];
  const widths = head.map((_, at) => Math.max(...allRows.map((row) => (row[at] ?? "").length)));
  const alignRight = head.map((_, at) => rows.every((row) => /^[-+\d.,%]*\s?[a-zµ%]*$|^-$/.test(row[at] ?? "")));
  const formatRow = (row: readonly string[]): string =>
    row
      .map((entry, at) => (alignRight[at] === true ? entry.padStart(widths[at] ?? 0) : entry.padEnd(widths[at] ?? 0)))
      .join("  ")
      .trimEnd();
  return allRows.map(formatRow).join("\n");
};

/** Formats microseconds in seconds, minutes or hours; null as `-`. */
export const formatDuration = (us: number | null): string => {
  if (us === null) return "-";
  const s = us / 1_000_000;
  if (s < 100) return `${s.toFixed(1)} s`;
  if (s < 6_000) return `${(s / 60).toFixed(1)} min`;
  return `${(s / 3_600).toFixed(1)} h`;
};

/** Progress line on standard error: overwritten in place on a terminal, printed at most every 5 s elsewhere. */
export class Progress {
  private lastShownAt = 0;
  private readonly terminal = process.stderr.isTTY === true;

  constructor(private readonly enabled: boolean) {}

  /** Shows the text unless the previous one was shown too recently. */
  show(text: string): void {
    const now = performance.now();
    if (!this.enabled || now - this.lastShownAt < (this.terminal ? 200 : 5_000)) return;
    this.lastShownAt = now;
    process.stderr.write(this.terminal ? `\r\x1b[2K${text}` : `${text}\n`);
  }

  /** Clears the line on a terminal, before other output. */
  end(): void {
    if (this.enabled && this.terminal && this.lastShownAt > 0) process.stderr.write("\r\x1b[2K");
  }
}
