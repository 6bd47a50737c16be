/**
 * Events of a shard for traces and logs.
 * @module
 */
import type { JobSpec } from "../protocol/job-spec.js";
import type { Micros } from "../transport/clock.js";

interface MachineEventFields {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** What the leader of a shard observes, for a trace or the log. Times are those of its steady clock. */
export type ClusterEvent =
  | { readonly kind: "job seen"; readonly spec: JobSpec }
  | { readonly kind: "job cancelled"; readonly job: string }
  /** The job was submitted because those before it had ended, so long ago. */
  | { readonly kind: "job follows"; readonly job: string; readonly after: readonly string[]; readonly pause: Micros }
  | { readonly kind: "task done"; readonly job: string; readonly index: number; readonly ran: Micros }
  | ({ readonly kind: "machine up" | "machine deleted" | "machine failed" | "machine faulty" } & MachineEventFields)
  | ({ readonly kind: "machine notice" | "machine silent"; readonly span: Micros } & MachineEventFields)
  | {
      readonly kind: "refused";
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly span: Micros;
    }
  /** Over now, and as long as that. */
  | { readonly kind: "state away" | "cloud away"; readonly span: Micros };

/** Must not throw and must return at once; null where there is no listener, so that no event is created. */
export type ClusterEventListener = ((event: ClusterEvent) => void) | null;

/** The fields that events carry of a machine. */
export const eventFieldsOf = (machine: {
  readonly name: string;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}): MachineEventFields => ({ machine: machine.name, type: machine.typeName, zone: machine.zone, spot: machine.spot });
