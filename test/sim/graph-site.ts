import { describing } from "../../src/graphs/index.js";
import { HostClock, S } from "../../src/model/index.js";
import { DEFAULT_GRAPHS, type GraphOptions } from "../../src/settings/graph-options.js";
import type { Micros } from "../../src/transport/clock.js";
import { CLASS, JOB } from "../graph-fixtures.js";
import { Cluster } from "./cluster.js";

// Loaded beforehand: no simulated clock waits for files to be read.
await describing();

export const { owner: _owner, ...JOB_FIELDS } = JOB;
export const GRAPH_OPTIONS: GraphOptions = { ...DEFAULT_GRAPHS, otherClasses: CLASS, pools: { gate: 2 } };

export interface Answer {
  readonly status: number;
  readonly body: {
    readonly phase?: string;
    readonly counts?: Readonly<Record<string, number>>;
    readonly error?: string;
    readonly steps?: unknown;
    readonly next?: number | string | null;
    readonly graphs?: readonly { readonly ref: string; readonly phase: string }[];
    readonly have?: number;
  };
}

/** A whole simulated site that takes graphs, and a user of it. */
export class GraphSite extends Cluster {
  constructor(seed: number, options: Partial<GraphOptions> = {}) {
    super(seed, { graphs: { ...GRAPH_OPTIONS, ...options } });
  }

  async ask(method: string, target: string, body: unknown = "", node = 0): Promise<Answer> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    const answer = this.call(method, target, text, node);
    let there = false;
    void answer.then(() => {
      there = true;
    });
    for (let turn = 0; !there && turn < 300; turn += 1) await this.run(S / 20);
    const said = await answer;
    if (said === null) return { status: 0, body: {} };
    return { status: said.status, body: JSON.parse(said.text) as Answer["body"] };
  }

  /** Without waiting: the status once it is there, 0 where there was none. */
  async put(method: string, target: string, body: unknown): Promise<number> {
    return (await this.call(method, target, JSON.stringify(body), this.random.int(0, 2)))?.status ?? 0;
  }

  /** All steps as some controller tells them now; empty where it can't. */
  async steps(id: string, drive = false): Promise<readonly { readonly step: string; readonly state: string }[]> {
    for (let tries = 0; tries < (drive ? 50 : 1); tries += 1) {
      const answer = this.call("GET", `/v2/graphs/${id}/steps`, "", this.random.int(0, 2));
      // Nobody moves the clock once the day is over.
      for (let turn = 0; drive && turn < 8; turn += 1) await this.run(S / 4);
      const said = await answer;
      if (said?.status === 200) {
        return (JSON.parse(said.text) as { steps: readonly { readonly step: string; readonly state: string }[] }).steps;
      }
    }
    return [];
  }

  private async call(
    method: string,
    target: string,
    text: string,
    node: number,
  ): Promise<{ readonly status: number; readonly text: string } | null> {
    const client = this.network.client("user", new HostClock(this.world, 1, 0));
    const address = this.site.nodeAddress(node);
    const outcome = await client.call(address, { method, target, body: text }, (5 * S) as Micros);
    return outcome.kind === "answer" ? { status: outcome.status, text: outcome.body } : null;
  }

  /** As users do: again until it is taken or refused for good. */
  async post(ref: string, tasks: readonly unknown[], more: Readonly<Record<string, unknown>> = {}): Promise<Answer> {
    const graph = { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks, ...more };
    for (let tries = 0; ; tries += 1) {
      const answer = await this.ask("POST", "/v2/graphs", { ref, graph, ds: "2026-01-01" }, tries % 3);
      if (tries > 30 || (answer.status !== 0 && answer.status !== 503)) return answer;
      await this.run(S);
    }
  }

  async until(id: string, phases: readonly string[], mostS = 300): Promise<Answer> {
    for (let spent = 0; spent < mostS; spent += 1) {
      const answer = await this.ask("GET", `/v2/graphs/${id}`, "", spent % 3);
      if (answer.status === 200 && phases.includes(answer.body.phase ?? "")) return answer;
      await this.run(S);
    }
    throw new Error(`${id} did not come to ${phases.join()}\n${this.log.slice(-30).join("\n")}`);
  }
}
