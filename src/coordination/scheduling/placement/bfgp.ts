/**
 * Best fit greedy placement, energy saving (the paper's BFGP-ES: section IV, Algorithms 1 and 2). Pure: it
 * works on copies handed in by the caller and changes nothing else. docs/design.md tells what differs.
 */
import type { Resources } from "../../../protocol/resources.js";

export interface Images {
  has(image: string): boolean;
  add(image: string): unknown;
}

export interface Server {
  readonly name: string;
  readonly capacity: Resources;
  /** c_j: what is left. */
  free: Resources;
  /** b_j */
  busy: boolean;
  readonly images: Images;
  /** For w = v / t (section III-B): a gigabyte costs its fetch time. */
  readonly fetchGbPerS: number;
}

export interface Component {
  readonly demand: Resources;
  readonly image: string;
  readonly imageGb: number;
}

const DIMENSIONS = ["cpu", "gpu", "ram"] as const;

export const fits = (demand: Resources, free: Resources): boolean =>
  demand.cpu <= free.cpu && demand.gpu <= free.gpu && demand.ram <= free.ram;

/** So many of them fit one after the other. */
export const countThatFit = (demand: Resources, free: Resources): number => {
  let most = Number.POSITIVE_INFINITY;
  for (const dimension of DIMENSIONS) {
    if (demand[dimension] > 0) most = Math.min(most, Math.floor(free[dimension] / demand[dimension]));
  }
  return Math.max(0, most);
};

export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  gpu: a.gpu + b.gpu,
  ram: a.ram + b.ram,
});
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu - b.cpu,
  gpu: a.gpu - b.gpu,
  ram: a.ram - b.ram,
});

/** c_j / c̄_j, taken in the dimension that runs out first. */
export const remainingShare = (server: Server): number => {
  let least = 1;
  for (const dimension of DIMENSIONS) {
    const whole = server.capacity[dimension];
    if (whole > 0) least = Math.min(least, server.free[dimension] / whole);
  }
  return least;
};

/** max(0, d_i - c_j), summed over the dimensions as shares of the machine. */
export const overflowShare = (demand: Resources, server: Server): number => {
  let sum = 0;
  for (const dimension of DIMENSIONS) {
    const over = demand[dimension] - server.free[dimension];
    if (over > 0) sum += over / Math.max(1, server.capacity[dimension]);
  }
  return sum;
};

export const fetchSeconds = (component: Component, server: Server): number =>
  server.images.has(component.image) ? 0 : component.imageGb / server.fetchGbPerS;

/** Algorithm 2: the k servers that fit, are busy and are fullest, in this order of weight. */
export const shortlist = <S extends Server>(demand: Resources, servers: readonly S[], kappa: number): readonly S[] => {
  const ranked = servers.map((server, index) => ({
    server,
    index,
    fits: fits(demand, server.free) ? 1 : 0,
    busy: server.busy ? 1 : 0,
    left: remainingShare(server),
  }));
  ranked.sort((a, b) => b.fits - a.fits || b.busy - a.busy || a.left - b.left || a.index - b.index);
  const k = Math.max(1, Math.floor(kappa * servers.length));
  return ranked.slice(0, k).map((entry) => entry.server);
};

/** Lines 6 to 11 of Algorithm 1 for one component; null where it would overflow and so has to wait. */
export const choose = <S extends Server>(component: Component, servers: readonly S[], kappa: number): S | null => {
  let best: { server: S; over: number; cost: number } | null = null;
  for (const server of shortlist(component.demand, servers, kappa)) {
    const over = overflowShare(component.demand, server);
    const cost = fetchSeconds(component, server);
    if (best === null || over < best.over || (over === best.over && cost < best.cost)) best = { server, over, cost };
  }
  return best !== null && best.over === 0 ? best.server : null;
};

/** Lines 12 to 14: the server now counts as busy, fuller and holding the image. */
export const assign = (component: Component, server: Server): void => {
  server.free = subtractResources(server.free, component.demand);
  server.busy = true;
  server.images.add(component.image);
};

/** d_i as one number: the largest share of the reference machine that it takes. */
export const relativeSize = (demand: Resources, reference: Resources): number => {
  let most = 0;
  for (const dimension of DIMENSIONS) {
    if (reference[dimension] > 0) most = Math.max(most, demand[dimension] / reference[dimension]);
  }
  return most;
};
