import { type Clock, type Micros, seconds } from "../transport/clock.js";
import type { HttpClient, HttpOutcome } from "../transport/http.js";
import { NEVER } from "./frames.js";
import { type PeerView, type Standing, standingOf, type Target, type Ways } from "./route.js";

const PROBE_STATE = seconds(1);
const PROBE_CLOUD = seconds(5);

type Service = Exclude<Target, "worker">;

interface Way {
  failing: boolean;
  refused: boolean;
  goodAt: Micros | null;
  probeAt: Micros;
}

const newWay = (): Way => ({ failing: false, refused: false, goodAt: null, probeAt: 0 as Micros });

export interface OwnWaysAround {
  readonly clock: Clock;
  /** By the own way. */
  readonly http: HttpClient;
  readonly storeAddress: string;
  readonly cloudAddress: string;
}

/** This controller's own ways to the state service and the cloud: what calls by them have said, and whether they are back. */
export class OwnWays {
  private readonly ways: Record<Service, Way> = { state: newWay(), cloud: newWay() };

  constructor(private readonly around: OwnWaysAround) {}

  targetOf(address: string): Target {
    if (address === this.around.storeAddress) return "state";
    return address === this.around.cloudAddress ? "cloud" : "worker";
  }

  get failing(): Ways["failing"] {
    return { state: this.ways.state.failing, cloud: this.ways.cloud.failing };
  }

  /** How long ago a call had an answer; `NEVER` where the way fails. */
  ageMs(target: Service): number {
    const { goodAt, failing } = this.ways[target];
    return goodAt === null || failing ? NEVER : Math.ceil((this.around.clock.now() - goodAt) / 1_000);
  }

  /** For people. */
  standing(target: Service, ways: Ways, peers: readonly PeerView[]): Standing {
    const { goodAt, refused } = this.ways[target];
    return standingOf(target, ways, goodAt !== null, refused, peers);
  }

  /** What a call by the own way says of it. */
  learn(target: Target, outcome: HttpOutcome): void {
    if (target === "worker") return;
    const way = this.ways[target];
    const now = this.around.clock.now();
    const refused = outcome.kind === "answer" && outcome.status === 503;
    if (outcome.kind === "answer" && !refused) {
      way.failing = false;
      way.refused = false;
      way.goodAt = now;
      return;
    }
    // Full of requests is no failure of the way; an empty cloud answers 503, too.
    if (refused && target === "cloud" && outcome.body.includes("no capacity")) {
      way.goodAt = now;
      return;
    }
    if (!way.failing) way.probeAt = (now + (target === "state" ? PROBE_STATE : PROBE_CLOUD)) as Micros;
    way.failing = true;
    way.refused = refused;
  }

  /** While a way fails it is tried again and again, so that calls come back to it. */
  probe(): void {
    const { clock, http, storeAddress, cloudAddress } = this.around;
    const now = clock.now();
    const look = (target: Service, address: string, path: string, period: Micros): void => {
      const way = this.ways[target];
      if (!way.failing || now < way.probeAt) return;
      way.probeAt = (now + period) as Micros;
      void http
        .call(address, { method: "GET", target: path, body: "" }, seconds(1.5))
        .then((outcome) => this.learn(target, outcome));
    };
    look("state", storeAddress, "/kv/c/leader", PROBE_STATE);
    look("cloud", cloudAddress, "/hosts?page=1", PROBE_CLOUD);
  }
}
