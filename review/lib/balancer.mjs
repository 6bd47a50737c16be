// Stand-in for the load balancer, by PROTOCOL "Users -> controller nodes": probes each node and names a healthy one.
import { call, newAgent } from "./http.mjs";

const PROBE_EVERY_MS = 1_000;
const PROBE_TIMEOUT_MS = 1_000;
const MIN_PAUSE_S = 3;
const MAX_PAUSE_S = 60;
const REMOVALS_WITHIN_S = 120;

export class Balancer {
  agent = newAgent();
  turn = 0;

  constructor(record, controllers) {
    this.record = record;
    this.nodes = controllers.map((controller) => ({
      controller,
      healthy: false,
      everHealthy: false,
      probes: [],
      removals: [],
      backAt: 0,
    }));
    for (const node of this.nodes) void this.probe(node);
    this.timer = setInterval(() => {
      for (const node of this.nodes) void this.probe(node);
    }, PROBE_EVERY_MS);
  }

  async probe(node) {
    const { status } = await call(this.agent, node.controller.address, "GET", "/up", null, PROBE_TIMEOUT_MS);
    node.probes = [...node.probes, status === 200].slice(-6);
    const lastTwo = node.probes.slice(-2);
    const now = this.record.now;
    if (node.healthy) {
      const failures = node.probes.filter((good) => !good).length;
      if (!(lastTwo.length === 2 && !lastTwo.some(Boolean)) && failures < 3) return;
      node.healthy = false;
      node.removals = [...node.removals.filter((at) => now - at < REMOVALS_WITHIN_S), now];
      node.backAt = now + Math.min(MAX_PAUSE_S, MIN_PAUSE_S * 2 ** (node.removals.length - 1));
      this.record.write(`load balancer: ${node.controller.label} is not healthy (${status})`);
    } else if ((!node.everHealthy && status === 200) || (lastTwo.length === 2 && lastTwo.every(Boolean) && now >= node.backAt)) {
      node.healthy = true;
      node.everHealthy = true;
      node.probes = [];
      this.record.write(`load balancer: ${node.controller.label} is healthy`);
    }
  }

  /** A healthy node for a new connection, in turn; null while there is none. */
  choose() {
    const healthy = this.nodes.filter((node) => node.healthy);
    if (healthy.length === 0) return null;
    this.turn += 1;
    return healthy[this.turn % healthy.length].controller;
  }

  close() {
    clearInterval(this.timer);
    this.agent.destroy();
  }
}
