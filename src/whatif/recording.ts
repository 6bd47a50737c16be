import { type HostInfo, type MachineObserver, noopObserver } from "../model/index.js";
import type { TraceEvent, TraceHeader } from "./format.js";

/** Records a replay as a trace of its own: what was played, on which machines, and which machines came and went. */
export class Recording {
  readonly events: TraceEvent[] = [];

  constructor(private readonly given: TraceHeader) {}

  get header(): TraceHeader {
    return { ...this.given, source: "replayed" };
  }

  readonly played = (event: TraceEvent): void => {
    this.events.push(event);
  };

  witness(now: () => number): MachineObserver {
    const of = ({ name, type, zone, spot }: HostInfo) => ({ machine: name, type, zone, spot });
    return {
      ...noopObserver,
      machineUp: (machine) => {
        this.events.push({ at: Math.round(now()), event: "machine_up", ...of(machine) });
      },
      // Taken and failed machines are trouble, and stand in the trace as it was played.
      machineGone: (machine, why) => {
        if (why === "deleted") this.events.push({ at: Math.round(now()), event: "machine_down", ...of(machine), why });
      },
    };
  }
}
