import { type Clock, type Micros, seconds } from "../transport/clock.js";
import type { HttpClient, HttpOutcome } from "../transport/http.js";
import { AGE_NEVER } from "./frames.js";
import {
  type CallTarget,
  type LinkStatus,
  linkStatusOf,
  type PeerSnapshot,
  type UpstreamLinks,
} from "./relay-route.js";

const STORE_PROBE_PERIOD = seconds(1);
const CLOUD_PROBE_PERIOD = seconds(5);

type UpstreamService = Exclude<CallTarget, "worker">;

interface LinkState {
  failing: boolean;
  refused: boolean;
  lastAnswerAt: Micros | null;
  nextProbeAt: Micros;
}

const initialLinkState = (): LinkState => ({
  failing: false,
  refused: false,
  lastAnswerAt: null,
  nextProbeAt: 0 as Micros,
});

export interface UpstreamLinkMonitorOptions {
  readonly clock: Clock;
  /** By the own way. */
  readonly http: HttpClient;
  readonly storeAddress: string;
  readonly cloudAddress: string;
}

/** This controller's own ways to the state service and the cloud: what calls by them have said, and whether they are back. */
export class UpstreamLinkMonitor {
  private readonly links: Record<UpstreamService, LinkState> = { store: initialLinkState(), cloud: initialLinkState() };

  constructor(private readonly options: UpstreamLinkMonitorOptions) {}

  targetOf(address: string): CallTarget {
    if (address === this.options.storeAddress) return "store";
    return address === this.options.cloudAddress ? "cloud" : "worker";
  }

  get failing(): UpstreamLinks["failing"] {
    return { store: this.links.store.failing, cloud: this.links.cloud.failing };
  }

  /** How long ago a call had an answer; `NEVER` where the way fails. */
  ageMs(target: UpstreamService): number {
    const { lastAnswerAt: goodAt, failing } = this.links[target];
    return goodAt === null || failing ? AGE_NEVER : Math.ceil((this.options.clock.now() - goodAt) / 1_000);
  }

  /** For people. */
  statusOf(target: UpstreamService, links: UpstreamLinks, peers: readonly PeerSnapshot[]): LinkStatus {
    const { lastAnswerAt: goodAt, refused } = this.links[target];
    return linkStatusOf(target, links, goodAt !== null, refused, peers);
  }

  /** What a call by the own way says of it. */
  recordOutcome(target: CallTarget, outcome: HttpOutcome): void {
    if (target === "worker") return;
    const link = this.links[target];
    const now = this.options.clock.now();
    const refused = outcome.kind === "answer" && outcome.status === 503;
    if (outcome.kind === "answer" && !refused) {
      link.failing = false;
      link.refused = false;
      link.lastAnswerAt = now;
      return;
    }
    // Full of requests is no failure of the way; an empty cloud answers 503, too.
    if (refused && target === "cloud" && outcome.body.includes("no capacity")) {
      link.lastAnswerAt = now;
      return;
    }
    if (!link.failing)
      link.nextProbeAt = (now + (target === "store" ? STORE_PROBE_PERIOD : CLOUD_PROBE_PERIOD)) as Micros;
    link.failing = true;
    link.refused = refused;
  }

  /** While a way fails it is tried again and again, so that calls come back to it. */
  probeFailingLinks(): void {
    const { clock, http, storeAddress, cloudAddress } = this.options;
    const now = clock.now();
    const look = (target: UpstreamService, address: string, path: string, period: Micros): void => {
      const way = this.links[target];
      if (!way.failing || now < way.nextProbeAt) return;
      way.nextProbeAt = (now + period) as Micros;
      void http
        .call(address, { method: "GET", target: path, body: "" }, seconds(1.5))
        .then((outcome) => this.recordOutcome(target, outcome));
    };
    look("store", storeAddress, "/kv/c/leader", STORE_PROBE_PERIOD);
    look("cloud", cloudAddress, "/hosts?page=1", CLOUD_PROBE_PERIOD);
  }
}
