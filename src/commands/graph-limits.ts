/** Checks the steps of a graph against the teams and machine types of a deployment. */
import { readFileSync } from "node:fs";
import { infeasibilityReason } from "../coordination/scheduling/eligibility.js";
import type { Plan } from "../graphs/index.js";
import { decodeMachineTypes, type MachineType } from "../protocol/cloud.js";
import { MalformedMessageError, parseJson } from "../protocol/json.js";
import { CommandError } from "./cli.js";
import { loadGraphsPackage } from "./graph-files.js";
import { loadConfiguration } from "./serve.js";

const readMachineTypes = (file: string): ReadonlyMap<string, MachineType> => {
  try {
    return new Map(decodeMachineTypes(parseJson(readFileSync(file, "utf8"))).map((type) => [type.name, type]));
  } catch (error) {
    if (
      !(error instanceof MalformedMessageError || error instanceof SyntaxError) &&
      (error as NodeJS.ErrnoException).code === undefined
    )
      throw error;
    throw new CommandError(`${file}: ${error instanceof Error ? error.message : "cannot be read"}`, true);
  }
};

/** Why the first infeasible step can never run on the deployment; null if all can. Without types, checks teams only. */
export const infeasibleStep = async (
  plan: Plan,
  config: string,
  typesFile: string | undefined,
): Promise<string | null> => {
  const { settings } = await loadConfiguration({ config });
  const { distinctJobs } = await loadGraphsPackage();
  const types = typesFile === undefined ? null : readMachineTypes(typesFile);
  for (const [step, spec] of distinctJobs(plan)) {
    const unlimited: MachineType | null =
      types === null ? unlimitedMachineType(spec.types?.[0] ?? "any", settings.zones) : null;
    const reason = infeasibilityReason(
      spec,
      settings,
      types ?? new Map(unlimited === null ? [] : [[unlimited.name, unlimited]]),
    );
    if (reason !== null) return `step ${step.id}: ${reason}`;
  }
  return null;
};

/** A machine type with practically unlimited capacity, so that only the limits of the teams apply. */
const unlimitedMachineType = (name: string, zones: readonly string[]): MachineType | null =>
  decodeMachineTypes({
    flavors: [
      {
        sku: name,
        cpus: 1e6,
        accelerators: 1e6,
        ramGb: 1e9,
        localGb: 1e9,
        pullGbPerS: 1,
        price: 1,
        spotPrice: 1,
        bootS: 1,
        areas: zones,
      },
    ],
  })[0] ?? null;
