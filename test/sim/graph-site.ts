import { loadDescription } from "../../src/graphs/index.js";
import { HostClock, S } from "../../src/model/index.js";
import { DEFAULT_GRAPHS, type GraphOptions } from "../../src/settings/graph-options.js";
import type { Micros } from "../../src/transport/clock.js";
import { CLASS, JOB } from "../graph-fixtures.js";
import { Cluster } from "./cluster.js";

// Loaded in advance, since simulated clocks do not wait for files to be read.
await loadDescription();

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

/** A simulated cluster with the graph extension, and a user who sends requests to it. */
export class GraphSite extends Cluster {
  constructor(seed: number, options: Partial<GraphOptions> = {}) {
    super(seed, { graphs: { ...GRAPH_OPTIONS, ...options } });
  }

  /** Sends a request and runs the simulation until the response arrives; status 0: there was none. */
  async request(method: string, target: string, body: unknown = "", node = 0): Promise<Answer> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    const answer = this.call(method, target, text, node);
    let responded = false;
    void answer.then(() => {
      responded = true;
    });
    for (let turn = 0; !responded && turn < 300; turn += 1) await this.run(S / 20);
    const response = await answer;
    if (response === null) return { status: 0, body: {} };
    return { status: response.status, body: JSON.parse(response.text) as Answer["body"] };
  }

  /** Sends a request to a random controller without advancing the clock; resolves to the status, 0: no response. */
  async put(method: string, target: string, body: unknown): Promise<number> {
    return (await this.call(method, target, JSON.stringify(body), this.random.int(0, 2)))?.status ?? 0;
  }

  /**
   * The first page of steps as a random controller reports them; empty if it does not respond with 200. With
   * `advanceClock`, advances the simulation meanwhile, and retries.
   */
  async steps(id: string, advanceClock = false): Promise<readonly { readonly step: string; readonly state: string }[]> {
    for (let tries = 0; tries < (advanceClock ? 50 : 1); tries += 1) {
      const answer = this.call("GET", `/v2/graphs/${id}/steps`, "", this.random.int(0, 2));
      // After the end of a scenario, nothing else advances the clock.
      for (let turn = 0; advanceClock && turn < 8; turn += 1) await this.run(S / 4);
      const response = await answer;
      if (response?.status === 200) {
        return (JSON.parse(response.text) as { steps: readonly { readonly step: string; readonly state: string }[] })
          .steps;
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

  /** Submits a graph, and retries as users do until it is accepted or permanently refused. */
  async submitGraph(
    ref: string,
    tasks: readonly unknown[],
    more: Readonly<Record<string, unknown>> = {},
  ): Promise<Answer> {
    const graph = { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks, ...more };
    for (let tries = 0; ; tries += 1) {
      const answer = await this.request("POST", "/v2/graphs", { ref, graph, ds: "2026-01-01" }, tries % 3);
      if (tries > 30 || (answer.status !== 0 && answer.status !== 503)) return answer;
      await this.run(S);
    }
  }

  /** Polls the run until it is in one of the phases; throws after `mostS` polls a simulated second apart. */
  async waitForPhase(id: string, phases: readonly string[], mostS = 300): Promise<Answer> {
    for (let spent = 0; spent < mostS; spent += 1) {
      const answer = await this.request("GET", `/v2/graphs/${id}`, "", spent % 3);
      if (answer.status === 200 && phases.includes(answer.body.phase ?? "")) return answer;
      await this.run(S);
    }
    throw new Error(`${id} did not reach phase ${phases.join()}\n${this.log.slice(-30).join("\n")}`);
  }
}
