import assert from "node:assert/strict";
import { test } from "node:test";
import {
  assign,
  type Component,
  choose,
  relativeSize,
  type Server,
  shortlist,
} from "../src/coordination/scheduling/placement/bfgp.js";
import { type RankedServer, Ranking } from "../src/coordination/scheduling/placement/ranking.js";
import { forSeeds, type Random } from "./random.js";

const IMAGES = ["a", "b", "c"];

const randomServers = (random: Random): Server[] =>
  Array.from({ length: random.int(1, 12) }, (_, at) => {
    const cpu = random.pick([4, 16, 32]) * 1_000;
    const used = random.int(0, cpu / 1_000) * 1_000;
    return {
      name: `m${at}`,
      capacity: { cpu, gpu: 0, ram: cpu * 4 },
      free: { cpu: cpu - used, gpu: 0, ram: cpu * 4 - random.int(0, used / 1_000) * 1_000 },
      busy: used > 0,
      images: new Set(IMAGES.filter(() => random.chance(0.4))),
      fetchGbPerS: random.pick([0.4, 1]),
    };
  });

const randomComponent = (random: Random): Component => ({
  demand: { cpu: random.int(1, 8) * 1_000, gpu: 0, ram: random.int(1, 20) * 1_000 },
  image: random.pick(IMAGES),
  imageGb: random.int(1, 30) / 10,
});

/** Reference implementation: the paper's Algorithms 1 and 2 line by line, regardless of run time. */
const referenceChoose = (component: Component, servers: readonly Server[], kappa: number): Server | null => {
  const heaviside = (x: number): number => (x >= 0 ? 1 : 0);
  const freeShare = (s: Server): number => Math.min(1, s.free.cpu / s.capacity.cpu, s.free.ram / s.capacity.ram);
  const better = (a: Server, b: Server): boolean => {
    const sortKey = (s: Server): number[] => [
      heaviside(s.free.cpu - component.demand.cpu) * heaviside(s.free.ram - component.demand.ram),
      s.busy ? 1 : 0,
      -freeShare(s),
      -servers.indexOf(s),
    ];
    const [x, y] = [sortKey(a), sortKey(b)];
    for (let at = 0; at < x.length; at += 1) if (x[at] !== y[at]) return (x[at] ?? 0) > (y[at] ?? 0);
    return false;
  };
  const k = Math.max(1, Math.floor(kappa * servers.length));
  const shortlisted: Server[] = [];
  while (shortlisted.length < k) {
    let next: Server | null = null;
    for (const s of servers) if (!shortlisted.includes(s) && (next === null || better(s, next))) next = s;
    if (next === null) break;
    shortlisted.push(next);
  }
  let chosen: Server | null = null;
  let leastCost: [number, number] = [Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY];
  for (const s of shortlisted) {
    const over =
      Math.max(0, component.demand.cpu - s.free.cpu) / s.capacity.cpu +
      Math.max(0, component.demand.ram - s.free.ram) / s.capacity.ram;
    const fetchS = s.images.has(component.image) ? 0 : component.imageGb / s.fetchGbPerS;
    if (over < leastCost[0] || (over === leastCost[0] && fetchS < leastCost[1])) {
      chosen = s;
      leastCost = [over, fetchS];
    }
  }
  return leastCost[0] === 0 ? chosen : null;
};

test("placement agrees with a line-by-line implementation of Algorithms 1 and 2", () => {
  forSeeds(400, (random) => {
    const servers = randomServers(random);
    const kappa = random.pick([0.1, 0.3, 0.5, 1]);
    for (let step = 0; step < 12; step += 1) {
      const component = randomComponent(random);
      const expected = referenceChoose(component, servers, kappa);
      const chosen = choose(component, servers, kappa);
      assert.equal(chosen?.name, expected?.name);
      if (chosen === null) continue;
      assign(component, chosen);
      assert.ok(chosen.busy && chosen.images.has(component.image));
      assert.ok(chosen.free.cpu >= 0 && chosen.free.ram >= 0, "a placement exceeded the capacity of its machine");
    }
  });
});

test("the shortlist holds the configured share of the servers, and at least one", () => {
  forSeeds(50, (random) => {
    const servers = randomServers(random);
    const { demand } = randomComponent(random);
    assert.equal(shortlist(demand, servers, 0.1).length, Math.max(1, Math.floor(servers.length * 0.1)));
    assert.equal(shortlist(demand, servers, 1).length, servers.length);
  });
});

test("the relative size of a demand is its largest share in any dimension", () => {
  const reference = { cpu: 32_000, gpu: 0, ram: 64_000 };
  assert.equal(relativeSize({ cpu: 4_000, gpu: 0, ram: 32_000 }, reference), 0.5);
});

test("the ranking places equal tasks like one-by-one placement, with few inspections", () => {
  forSeeds(300, (random) => {
    const servers: RankedServer[] = randomServers(random).map((server, order) => ({ ...server, order }));
    const kappa = random.pick([0.1, 0.3, 0.5, 1]);
    const component = randomComponent(random);
    const inspection = { count: 0 };
    const ranking = new Ranking(component, servers, servers.length, kappa, inspection);
    for (let step = 0; step < 40; step += 1) {
      const expected = referenceChoose(component, servers, kappa);
      const chosen = ranking.choose();
      assert.equal(chosen?.name, expected?.name);
      if (chosen === null) break;
      assign(component, chosen);
      ranking.confirmChoice();
    }
  });
  const many: RankedServer[] = Array.from({ length: 1_500 }, (_, order) => ({
    name: `m${order}`,
    order,
    capacity: { cpu: 32_000, gpu: 0, ram: 128_000 },
    free: { cpu: 32_000 - 4_000 * (order % 9), gpu: 0, ram: 128_000 },
    busy: order % 9 > 0,
    images: new Set<string>(),
    fetchGbPerS: 1,
  }));
  const component: Component = { demand: { cpu: 4_000, gpu: 0, ram: 9_000 }, image: "a", imageGb: 1 };
  const inspection = { count: 0 };
  const ranking = new Ranking(component, many, many.length, 0.5, inspection);
  let placed = 0;
  for (let server = ranking.choose(); server !== null && placed < 1_000; server = ranking.choose()) {
    assign(component, server);
    ranking.confirmChoice();
    placed += 1;
  }
  assert.equal(placed, 1_000);
  // Inspecting every machine for each task would take 1.5 million inspections.
  assert.ok(inspection.count < 500_000, `${inspection.count} inspections`);
});
