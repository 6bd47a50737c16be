/**
 * Events of a shard, as delivered to listeners that write traces and logs.
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

/** An event observed by the leader of a shard, for a trace or the log. Times are read from its monotonic clock. */
export type ClusterEvent =
  | { readonly kind: "job seen"; readonly spec: JobSpec }
  | { readonly kind: "job cancelled"; readonly job: string }
  /** The job was submitted because the jobs in `after` had ended; `pause` is the time since then. */
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
  /** An outage of the key-value store or of the cloud API has ended; `span` is its duration. */
  | { readonly kind: "state away" | "cloud away"; readonly span: Micros };

/** Must return immediately and must not throw. Null: there is no listener, and no event is created. */
export type ClusterEventListener = ((event: ClusterEvent) => void) | null;

/** The machine's fields that its events carry. */
export const eventFieldsOf = (machine: {
  readonly name: string;
  readonly typeName: string;
  readonly zone: string;
  readonly spot: boolean;
}): MachineEventFields => ({ machine: machine.name, type: machine.typeName, zone: machine.zone, spot: machine.spot });
