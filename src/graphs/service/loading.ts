import type { KeyValueStore } from "../../storage/key-value-store.js";
import { jobKey, outcomeKey } from "../../storage/keys.js";
import { decodeOutcomeRecord } from "../../storage/outcome-records.js";
import type { Outcome, StoredAttempts } from "../run/dag-run.js";
import { decodePlan, type Plan } from "../run/plan.js";
import {
  jobIdOf,
  jobPrefix,
  outcomeOf,
  planKey,
  type RunHeader,
  readSegment,
  readSegments,
  type SavedStates,
  segmentPrefix,
} from "./records.js";

/** The stored data of a run other than its header and its open jobs. */
export interface LoadedRun {
  readonly plan: Plan;
  readonly saved: SavedStates;
  /** Outcomes of ended attempts, by job id. */
  readonly outcomes: Map<string, Outcome>;
}

const noSavedStates = (): SavedStates => ({ finals: new Map(), clearings: new Map() });

/** Null if the state service did not answer, or if a chunk of the plan is missing. */
export const loadPlan = async (store: KeyValueStore, id: string, header: RunHeader): Promise<Plan | null> => {
  if ("text" in header.plan) return decodePlan(header.plan.text);
  let text = "";
  for (let chunk = 0; chunk < header.plan.chunks; chunk += 1) {
    const reply = await store.get(planKey(id, header.digest, chunk));
    if (reply.kind !== "ok" || typeof reply.value.value !== "string") return null;
    text += reply.value.value;
  }
  return decodePlan(text);
};

/** Reads the run's saved segments; null if the state service did not answer. */
export const loadSavedStates = async (
  store: KeyValueStore,
  id: string,
  header: RunHeader,
): Promise<SavedStates | null> => {
  const reply = await store.list(segmentPrefix(id));
  if (reply.kind !== "ok") return null;
  const segments: ReturnType<typeof readSegment>[] = [];
  for (const { key, value } of reply.value.entries) {
    segments[Number(key.slice(segmentPrefix(id).length))] = readSegment(value);
  }
  return readSegments(header.segment, segments);
};

/** Null if the state service did not answer. A small run that was never cleared takes one request. */
export const loadRun = async (
  store: KeyValueStore,
  id: string,
  header: RunHeader,
  knownPlan: Plan | null,
): Promise<LoadedRun | null> => {
  const plan = knownPlan ?? (await loadPlan(store, id, header));
  if (plan === null) return null;
  const saved = header.round === 0 ? noSavedStates() : await loadSavedStates(store, id, header);
  if (saved === null) return null;
  const prefix = outcomeKey(jobPrefix(id, header.digest));
  const reply = await store.list(prefix);
  if (reply.kind !== "ok") return null;
  const outcomes = new Map<string, Outcome>();
  for (const { key, value } of reply.value.entries)
    outcomes.set(key.slice(outcomeKey("").length), outcomeOf(decodeOutcomeRecord(value)));
  return { plan, saved, outcomes };
};

/** State of the run's attempts by their stored records. `isCurrent`: whether the watch cache holds the job record. */
export const recordedAttempts = (
  id: string,
  header: RunHeader,
  outcomes: ReadonlyMap<string, Outcome>,
  isCurrent: (key: string) => boolean,
): StoredAttempts => {
  const jobOf = (step: number, attempt: number): string => jobIdOf(id, header.digest, step, attempt);
  return {
    outcome: (step, attempt) => outcomes.get(jobOf(step, attempt)) ?? null,
    isOpen: (step, attempt) => {
      const job = jobOf(step, attempt);
      return !outcomes.has(job) && isCurrent(jobKey(job));
    },
  };
};
