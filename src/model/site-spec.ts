import { stringify } from "smol-toml";
import { parseSettings } from "../settings/parse-settings.js";
import type { Settings } from "../settings/settings.js";

/** A machine type of the cloud. Units as in its catalogue: CPUs, GB, GB/s, price per hour. */
export interface TypeSpec {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly ramGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootUs: number;
  readonly zones: readonly string[];
}

/** Maximum number of machines of a type, zone and purchase model (spot or on-demand) rented at once. */
export interface CapacitySpec {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** Guarantees and limits of a team; 0 means none, as in the platform's settings. */
export interface TeamSpec {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

/** A service-level objective as in the settings; `class` and `withinUs` are null where its kind has none. */
export interface ObjectiveSpec {
  readonly kind: string;
  readonly class: string | null;
  readonly withinUs: number | null;
  readonly share: number;
}

/** The environment of a site's controllers. Times in microseconds. */
export interface SiteSpec {
  readonly name: string;
  readonly zones: readonly string[];
  /** Zone of each controller. */
  readonly controllers: readonly string[];
  readonly teams: readonly TeamSpec[];
  readonly types: readonly TypeSpec[];
  readonly capacity: readonly CapacitySpec[];
  readonly objectives: readonly ObjectiveSpec[];
  readonly workers: {
    readonly reportUs: number;
    readonly leaseUs: number;
    readonly cancelUs: number;
    readonly gangWaitUs: number;
    readonly gangPeerUs: number;
  };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloud: { readonly rps: number; readonly listLagUs: number };
  readonly quota: { readonly cpuShare: number; readonly memMb: number; readonly maxConnections: number };
}

/** Network addresses ("host:port") of the parts of a site. */
export interface Addresses {
  readonly controllers: readonly string[];
  readonly mesh: readonly string[];
  readonly state: string;
  readonly cloud: string;
}

/** Maximum error of the controllers' wall clocks, in milliseconds. */
export const CLOCK_ERROR_MS = 5;

/** Label of a controller in settings and logs. */
export const labelOf = (controller: number): string => `ctl-${controller}`;

const toSeconds = (us: number): number => us / 1_000_000;

/** The settings that the platform would hand to controller number `index`, as TOML. */
export const settingsText = (site: SiteSpec, addresses: Addresses, index: number): string => {
  const siblings = site.controllers.flatMap((area, at) =>
    at === index ? [] : [{ label: labelOf(at), area, endpoint: addresses.mesh[at] ?? "" }],
  );
  return stringify({
    label: labelOf(index),
    area: site.controllers[index] ?? "",
    client_listen: addresses.controllers[index] ?? "",
    mesh_addr: addresses.mesh[index] ?? "",
    siblings,
    outside: { cloud: addresses.cloud, state: addresses.state },
    deployment: {
      count: site.controllers.length,
      zones: [...site.zones],
      clock_error_ms: CLOCK_ERROR_MS,
      teams: site.teams.map(({ name, cpus, cpusMax, gpus, gpusMax }) => ({
        name,
        cpus,
        cpus_max: cpusMax,
        gpus,
        gpus_max: gpusMax,
      })),
      objectives: site.objectives.map((objective) => ({
        kind: objective.kind,
        ...(objective.class === null ? {} : { class: objective.class }),
        ...(objective.withinUs === null ? {} : { within_s: toSeconds(objective.withinUs) }),
        share: objective.share,
      })),
      workers: {
        report_s: toSeconds(site.workers.reportUs),
        lease_s: toSeconds(site.workers.leaseUs),
        gang_wait_s: toSeconds(site.workers.gangWaitUs),
        gang_peer_s: toSeconds(site.workers.gangPeerUs),
        cancel_s: toSeconds(site.workers.cancelUs),
      },
      state: {
        rps: site.state.rps,
        write_rps: site.state.writeRps,
        value_kb: site.state.valueKb,
        txn_ops: site.state.txnOps,
      },
      cloud: { rps: site.cloud.rps, list_lag_s: toSeconds(site.cloud.listLagUs) },
      quota: {
        cpu_share: site.quota.cpuShare,
        mem_mb: site.quota.memMb,
        max_connections: site.quota.maxConnections,
      },
    },
  });
};

/** Parsed settings of controller number `index`. */
export const settingsOf = (site: SiteSpec, addresses: Addresses, index: number): Settings =>
  parseSettings(settingsText(site, addresses, index));

/** The catalogue as the cloud publishes it. */
export const catalogOf = (types: readonly TypeSpec[]): unknown => ({
  flavors: types.map((type) => ({
    sku: type.name,
    cpus: type.cpus,
    accelerators: type.gpus,
    ramGb: type.ramGb,
    localGb: type.cacheGb,
    pullGbPerS: type.fetchGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: toSeconds(type.bootUs),
    areas: type.zones,
  })),
});
