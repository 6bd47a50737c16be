/**
 * Best fit greedy placement, energy saving (the paper's BFGP-ES: section IV, Algorithms 1 and 2). It has no side
 * effects but on the servers passed in by the caller. docs/design.md describes where it differs from the paper.
 */
import type { Resources } from "../../../protocol/resources.js";

/** The images that a server has cached or is about to fetch. */
export interface Images {
  has(image: string): boolean;
  add(image: string): unknown;
}

/** Server j of the paper. */
export interface Server {
  readonly name: string;
  readonly capacity: Resources;
  /** c_j: the remaining capacity. */
  free: Resources;
  /** b_j: whether the server runs any task. */
  busy: boolean;
  readonly images: Images;
  /** The fetch rate t of w = v / t (section III-B): the cost of an image is its fetch time. */
  readonly fetchGbPerS: number;
}

/** Component i of the paper: a task with its image; `imageGb` in gigabytes. */
export interface Component {
  readonly demand: Resources;
  readonly image: string;
  readonly imageGb: number;
}

const DIMENSIONS = ["cpu", "gpu", "ram"] as const;

/** Whether the demand is at most the free capacity in every dimension. */
export const fits = (demand: Resources, free: Resources): boolean =>
  demand.cpu <= free.cpu && demand.gpu <= free.gpu && demand.ram <= free.ram;

/** How many times the demand fits into the free capacity; infinite for a demand of zero. */
export const countThatFit = (demand: Resources, free: Resources): number => {
  let count = Number.POSITIVE_INFINITY;
  for (const dimension of DIMENSIONS) {
    if (demand[dimension] > 0) count = Math.min(count, Math.floor(free[dimension] / demand[dimension]));
  }
  return Math.max(0, count);
};

/** a + b in every dimension. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  gpu: a.gpu + b.gpu,
  ram: a.ram + b.ram,
});

/** a - b in every dimension; components may be negative. */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu - b.cpu,
  gpu: a.gpu - b.gpu,
  ram: a.ram - b.ram,
});

/** c_j / c̄_j, the free share of the server, in its scarcest dimension. */
export const remainingShare = (server: Server): number => {
  let smallest = 1;
  for (const dimension of DIMENSIONS) {
    const capacity = server.capacity[dimension];
    if (capacity > 0) smallest = Math.min(smallest, server.free[dimension] / capacity);
  }
  return smallest;
};

/** max(0, d_i - c_j), summed over the dimensions as shares of the server's capacity. */
export const overflowShare = (demand: Resources, server: Server): number => {
  let sum = 0;
  for (const dimension of DIMENSIONS) {
    const over = demand[dimension] - server.free[dimension];
    if (over > 0) sum += over / Math.max(1, server.capacity[dimension]);
  }
  return sum;
};

/** w: the time in seconds that the server takes to fetch the component's image; 0 if it has the image. */
export const fetchSeconds = (component: Component, server: Server): number =>
  server.images.has(component.image) ? 0 : component.imageGb / server.fetchGbPerS;

/**
 * Algorithm 2: the first k servers, ordered by whether the demand fits, whether they are busy, and how full they are.
 */
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

/** Lines 6 to 11 of Algorithm 1 for one component; null if it fits on no shortlisted server and so has to wait. */
export const choose = <S extends Server>(component: Component, servers: readonly S[], kappa: number): S | null => {
  let best: { server: S; over: number; cost: number } | null = null;
  for (const server of shortlist(component.demand, servers, kappa)) {
    const over = overflowShare(component.demand, server);
    const cost = fetchSeconds(component, server);
    if (best === null || over < best.over || (over === best.over && cost < best.cost)) best = { server, over, cost };
  }
  return best !== null && best.over === 0 ? best.server : null;
};

/** Lines 12 to 14 of Algorithm 1: updates the server's free capacity, busy flag and images for the component. */
export const assign = (component: Component, server: Server): void => {
  server.free = subtractResources(server.free, component.demand);
  server.busy = true;
  server.images.add(component.image);
};

/** d_i as one number: the largest share of the reference machine that it takes in any dimension. */
export const relativeSize = (demand: Resources, reference: Resources): number => {
  let largest = 0;
  for (const dimension of DIMENSIONS) {
    if (reference[dimension] > 0) largest = Math.max(largest, demand[dimension] / reference[dimension]);
  }
  return largest;
};
