/** Health of the direct links to the key-value store and the cloud, derived from outcomes of calls and probes. */
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import type { HttpClient, HttpOutcome } from "../transport/http.js";
import { AGE_NEVER } from "./frames.js";
import type { LinkStatus } from "./link-status.js";
import {
  type CallTarget,
  linkStatusOf,
  type PeerSnapshot,
  type UpstreamLinks,
  type UpstreamService,
} from "./relay-route.js";

const PROBE_PERIOD: Readonly<Record<UpstreamService, Micros>> = { store: seconds(1), cloud: seconds(5) };
const PROBE_TIMEOUT = seconds(1.5);
/** Read-only requests that are cheap for the service. */
const PROBE_PATH: Readonly<Record<UpstreamService, string>> = { store: "/kv/c/leader", cloud: "/hosts?page=1" };

const SERVICE_UNAVAILABLE = 503;
/** Contained in the body of a 503 from a cloud without machines to rent, which is not a failure of the link. */
const NO_CAPACITY = "no capacity";
const MICROS_PER_MILLISECOND = 1_000;

interface LinkState {
  failing: boolean;
  /** The latest call failed with status 503. */
  refused: boolean;
  /** Null: no response since the process started. */
  lastAnswerAt: Micros | null;
  nextProbeAt: Micros;
}

const initialLinkState = (): LinkState => ({
  failing: false,
  refused: false,
  lastAnswerAt: null,
  nextProbeAt: 0 as Micros,
});

/** Addresses and dependencies of a monitor. */
export interface UpstreamLinkMonitorOptions {
  readonly clock: Clock;
  /** Calls over the direct link. */
  readonly http: HttpClient;
  readonly storeAddress: string;
  readonly cloudAddress: string;
}

/** Tracks this controller's direct links to the services, and probes those that fail. */
export class UpstreamLinkMonitor {
  private readonly links: Record<UpstreamService, LinkState> = {
    store: initialLinkState(),
    cloud: initialLinkState(),
  };

  constructor(private readonly options: UpstreamLinkMonitorOptions) {}

  /** The service with this address; any other address is a worker's. */
  targetOf(address: string): CallTarget {
    if (address === this.options.storeAddress) return "store";
    return address === this.options.cloudAddress ? "cloud" : "worker";
  }

  /** Whether the latest call over each link failed. */
  get failing(): UpstreamLinks["failing"] {
    return { store: this.links.store.failing, cloud: this.links.cloud.failing };
  }

  /** Milliseconds since the service last responded; `AGE_NEVER` before the first response and while the link fails. */
  ageMs(service: UpstreamService): number {
    const { lastAnswerAt, failing } = this.links[service];
    if (lastAnswerAt === null || failing) return AGE_NEVER;
    return Math.ceil((this.options.clock.now() - lastAnswerAt) / MICROS_PER_MILLISECOND);
  }

  /** Status of the link to a service, as shown to operators. */
  statusOf(service: UpstreamService, links: UpstreamLinks, peers: readonly PeerSnapshot[]): LinkStatus {
    const { lastAnswerAt, refused } = this.links[service];
    return linkStatusOf(service, links, { answered: lastAnswerAt !== null, refused }, peers);
  }

  /** Records the outcome of a call over the direct link. Calls to workers are ignored. */
  recordOutcome(target: CallTarget, outcome: HttpOutcome): void {
    if (target === "worker") return;
    const link = this.links[target];
    const now = this.options.clock.now();
    const refused = outcome.kind === "answer" && outcome.status === SERVICE_UNAVAILABLE;
    if (outcome.kind === "answer" && !refused) {
      link.failing = false;
      link.refused = false;
      link.lastAnswerAt = now;
      return;
    }
    if (refused && target === "cloud" && outcome.body.includes(NO_CAPACITY)) {
      link.lastAnswerAt = now;
      return;
    }
    if (!link.failing) link.nextProbeAt = (now + PROBE_PERIOD[target]) as Micros;
    link.failing = true;
    link.refused = refused;
  }

  /** Probes failing links, each once per `PROBE_PERIOD`, so that calls return to a link that works again. */
  probeFailingLinks(): void {
    const now = this.options.clock.now();
    this.probe("store", this.options.storeAddress, now);
    this.probe("cloud", this.options.cloudAddress, now);
  }

  private probe(service: UpstreamService, address: string, now: Micros): void {
    const link = this.links[service];
    if (!link.failing || now < link.nextProbeAt) return;
    link.nextProbeAt = (now + PROBE_PERIOD[service]) as Micros;
    void this.options.http
      .call(address, { method: "GET", target: PROBE_PATH[service], body: "" }, PROBE_TIMEOUT)
      .then((outcome) => this.recordOutcome(service, outcome));
  }
}
