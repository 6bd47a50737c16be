/** Text form of a controller's answer to `/links`. */
import { formatTable } from "./cli.js";

const LINK_NAMES: Readonly<Record<string, string>> = {
  state: "state service",
  cloud: "cloud",
  workers: "workers",
};

const asRecord = (value: unknown): Readonly<Record<string, unknown>> =>
  typeof value === "object" && value !== null ? (value as Readonly<Record<string, unknown>>) : {};

const formatNames = (value: unknown): string => {
  const list = Array.isArray(value) ? value.map(String) : [];
  const shown = list.slice(0, 5).join(", ");
  return list.length > 5 ? `${shown} and ${list.length - 5} more` : shown;
};

/** One line for each problem in a controller's answer to `/links`; empty if there is none. */
export const linkTroubles = (answer: unknown): readonly string[] => {
  const links = asRecord(answer);
  const lines: string[] = [];
  for (const target of ["state", "cloud"]) {
    const status = links[target];
    if (typeof status === "string" && status !== "reached" && status !== "not asked yet") {
      lines.push(`${LINK_NAMES[target]}: ${status}`);
    }
  }
  if (links.workers === "cut off from me") lines.push("workers: their reports come through another controller");
  for (const [label, status] of Object.entries(asRecord(links.siblings))) {
    if (status !== "reached") lines.push(`controller ${label}: ${String(status)}`);
  }
  if (links.machines === null || links.machines === undefined) return lines;
  const machines = asRecord(links.machines);
  if (machines.mayAct === false)
    lines.push("holds the machines without the right to act: no word of the state service");
  const addNames = (key: string, text: string): void => {
    const list = formatNames(machines[key]);
    if (list !== "") lines.push(`${text}: ${list}`);
  };
  addNames("heardNotReached", "machines heard, but not reached");
  addNames("silent", "machines silent");
  addNames("zonesCut", "zones cut off");
  if (typeof machines.roomKeptFor === "string") lines.push(`room that comes free is kept for ${machines.roomKeptFor}`);
  return lines;
};

/** The links of one controller as a table, followed by its problems. */
export const linksText = (answer: unknown): string => {
  const links = asRecord(answer);
  const rows = ["state", "cloud", "workers"].flatMap((key) =>
    typeof links[key] === "string" ? [[LINK_NAMES[key] ?? key, String(links[key])]] : [],
  );
  for (const [label, status] of Object.entries(asRecord(links.siblings))) rows.push([label, String(status)]);
  const { up } = asRecord(links.machines);
  rows.push(["machines", typeof up === "number" ? `${up} up, held here` : "not held here"]);
  const troubles = linkTroubles(answer);
  return [formatTable(["link", "standing"], rows), "", ...(troubles.length === 0 ? ["no troubles"] : troubles)].join(
    "\n",
  );
};
