/** Client of the graph service of a controller, with retries. */
import { ClientError, graphRequestBodies, type Reply, sendRequest } from "../client.js";
import { CommandError } from "./cli.js";

const RETRY_PERIOD_MS = 60_000;
const MAX_RETRY_DELAY_S = 30;

const sleep = (time: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, time));

const errorOf = ({ status, body }: Reply): string => {
  try {
    const { error } = JSON.parse(body) as { readonly error?: unknown };
    if (typeof error === "string") return error;
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
  }
  return `status ${status}`;
};

/**
 * Sends a request, with a JSON body if there is one, and returns the response body. Retries like `requestWithRetries`.
 */
export const requestJson = (server: string, method: string, target: string, body: unknown = null): Promise<string> =>
  requestWithRetries(server, method, target, body === null ? "" : JSON.stringify(body));

/**
 * Sends a request until it succeeds, with retries for up to a minute: after no response, after status 429 and after
 * 5xx. Throws a `CommandError` on any other status or when the time is over.
 */
const requestWithRetries = async (server: string, method: string, target: string, text: string): Promise<string> => {
  const deadline = performance.now() + RETRY_PERIOD_MS;
  for (;;) {
    let reason = "no answer";
    let delayS = 1;
    try {
      const reply = await sendRequest(server, { method, target, body: text });
      if (reply.status >= 200 && reply.status < 300) return reply.body;
      reason = errorOf(reply);
      if (reply.status < 500 && reply.status !== 429) throw new CommandError(reason);
      delayS = Math.min(MAX_RETRY_DELAY_S, Math.max(1, reply.retryAfterS ?? 1));
    } catch (error) {
      if (!(error instanceof ClientError)) throw error;
      if (error.message.includes("not an address")) throw new CommandError(error.message, true);
      reason = error.message;
    }
    if (performance.now() + delayS * 1_000 > deadline)
      throw new CommandError(`no success within 60 s, last failure: ${reason}`);
    await sleep(delayS * 1_000);
  }
};

/** Submits a graph, in numbered parts if it exceeds one request. Returns the body of the last response. */
export const submitGraph = async (
  server: string,
  body: { readonly ref: string },
  progress: (done: number, of: number) => void,
): Promise<string> => {
  const bodies = graphRequestBodies(body.ref, JSON.stringify(body));
  let responseBody = "";
  for (const [at, text] of bodies.entries()) {
    responseBody = await requestWithRetries(server, "POST", "/v2/graphs", text);
    if (bodies.length > 1) progress(at + 1, bodies.length);
  }
  return responseBody;
};

/** Status of a run; `counts` is the number of steps by state. */
export interface GraphStatus {
  readonly ref: string;
  readonly phase: string;
  readonly dag_id?: string;
  readonly steps?: number;
  readonly counts?: Readonly<Record<string, number>>;
}

const FINAL_PHASES: ReadonlySet<string> = new Set(["success", "failed", "withdrawn"]);
/** Whether the run has ended; tasks of a withdrawn run may still be stopping. */
export const hasEnded = ({ phase }: GraphStatus): boolean => FINAL_PHASES.has(phase);

/** The status of a run as one line. */
export const statusLine = ({ ref, phase, counts = {} }: GraphStatus): string => {
  const states = Object.entries(counts).map(([state, count]) => `${count} ${state}`);
  return `${ref}: ${phase}${states.length === 0 ? "" : ` (${states.join(", ")})`}`;
};

/** Status of a run. Throws a `CommandError` like `requestJson`. */
export const graphStatus = async (server: string, id: string): Promise<GraphStatus> =>
  JSON.parse(await requestJson(server, "GET", `/v2/graphs/${id}`)) as GraphStatus;

/** Queries the status every second until the run has ended and no step is queued or running; returns the last one. */
export const watchGraph = async (
  server: string,
  id: string,
  show: (status: GraphStatus) => void,
): Promise<GraphStatus> => {
  for (;;) {
    const status = await graphStatus(server, id);
    show(status);
    // A withdrawn run has its final phase at once, while its last tasks may still be stopping.
    const open = (status.counts?.queued ?? 0) + (status.counts?.running ?? 0);
    if (hasEnded(status) && open === 0) return status;
    await sleep(1_000);
  }
};
