/** Random faults; the number and order of random draws decide the days of all seeds. */
import { type Random, S } from "../../src/model/index.js";
import type { Cluster } from "./cluster.js";

/** Injects one to three overlapping faults that cut some links and leave others up. */
export const cutLinksAtRandom = (cluster: Cluster, random: Random): void => {
  for (let number = random.int(1, 3); number > 0; number -= 1) {
    const node = random.int(0, 2);
    const forUs = random.int(3, 40) * S;
    const mode = random.pick(["hold", "reset"] as const);
    switch (random.int(0, 4)) {
      case 0:
        cluster.site.cutFromState(node, forUs, mode);
        break;
      case 1:
        cluster.state.refuse(cluster.site.nodeAddress(node), forUs);
        break;
      case 2:
        cluster.site.cutFromWorkers(node, forUs, mode);
        break;
      case 3:
        cluster.site.refusePeers(forUs);
        break;
      default:
        // The link goes down and up every two seconds.
        for (let at = 0; at < forUs; at += 4 * S) {
          cluster.world.after(at, () => cluster.site.cutFromState(node, 2 * S, mode));
        }
    }
  }
};

/** Injects one-way loss, late duplicates, an isolated shard leader or restarts within a fraction of a second. */
export const injectHarshFault = (cluster: Cluster, random: Random): void => {
  const forUs = random.int(5, 60) * S;
  const mode = random.pick(["hold", "reset"] as const);
  const machines = cluster.cloud.running().flatMap(({ worker }) => (worker === null ? [] : [worker]));
  const restartDelay = (): number => random.int(1, 900) * 1_000;
  const node = random.int(0, 2);
  switch (random.int(0, 7)) {
    case 0: {
      const chosen = machines.filter(() => random.chance(random.pick([0.1, 0.5, 1])));
      const lostDirections = random.pick([["requests", "answers"], ["requests"], ["answers"]] as const);
      cluster.site.dropToMachines(new Set(chosen.map(({ host }) => host.address)), forUs, lostDirections);
      break;
    }
    case 1:
      cluster.site.copyReports(random.pick([0.05, 0.5]), random.pick([1, 20, 60]) * S, forUs);
      break;
    case 7:
      cluster.site.repeatRequests(random.pick([0.05, 0.3]), random.pick([1, 25]) * S, forUs);
      break;
    case 2:
      cluster.site.cutAllButWorkers(node, forUs, mode, random.chance(0.5));
      break;
    case 3:
      cluster.crash(node, restartDelay());
      break;
    case 4:
      // All controllers crash repeatedly, also while they elect a leader and acquire the shard.
      for (let at = 0; at < random.int(1, 6) * S; at += random.int(50, 900) * 1_000) {
        cluster.world.after(at, () => cluster.crash(random.int(0, 2), restartDelay()));
      }
      break;
    case 5:
      for (const at of [0, 1, 2]) cluster.crash(at, restartDelay());
      break;
    default: {
      const kept = random.chance(0.5);
      for (const worker of machines) if (random.chance(0.3)) worker.restart(kept);
    }
  }
};

/** Injects one fault drawn at random from the first `kinds` kinds; several calls may overlap. */
export const injectFault = (cluster: Cluster, random: Random, kinds = 16): void => {
  const length = (): number => random.int(5, 40) * S;
  const node = random.int(0, 2);
  const machines = cluster.cloud.running();
  const mode = random.pick(["hold", "reset"] as const);
  switch (random.int(0, kinds - 1)) {
    case 0:
      cluster.crash(node);
      break;
    case 1:
      for (const at of [0, 1, 2]) cluster.crash(at);
      break;
    case 2:
      for (const at of [0, 1, 2]) cluster.world.after(at * 6 * S, () => cluster.crash(at));
      break;
    case 3:
      cluster.state.outage(random.int(3, 25) * S);
      break;
    case 4:
      cluster.state.refuse(cluster.site.nodeAddress(node), length());
      break;
    case 5:
      cluster.site.cutFromState(node, length(), mode);
      break;
    case 6:
      for (const machine of machines.slice(0, random.int(1, 3))) {
        cluster.site.cutMachine(machine.worker?.host.address ?? "", length(), mode);
      }
      break;
    case 7:
      for (const machine of machines) if (random.chance(0.25)) machine.worker?.hang(length());
      break;
    case 8:
      for (const machine of machines) {
        if (!machine.info.spot || !random.chance(0.6)) continue;
        if (random.chance(0.5)) machine.worker?.notice(8 * S);
        cluster.world.after(8 * S, () => cluster.cloud.take(machine.ref));
      }
      break;
    case 9:
      if (machines.length > 0 && random.chance(0.5)) {
        const sickWorker = random.pick(machines).worker;
        sickWorker?.makeFaulty();
      }
      break;
    case 10:
      cluster.cloud.outageUntil = cluster.world.now + length();
      break;
    case 12:
      cluster.site.cutZone(random.pick(["east", "west"]), length(), mode);
      break;
    case 13:
      // The shard leader and its successors may crash before the worker leases in the zone expire.
      cluster.site.cutZone(random.pick(["east", "west"]), length(), mode);
      for (const at of [0, 1, 2]) cluster.world.after(random.int(0, 24 * S), () => cluster.crash(at));
      break;
    case 14:
      cluster.site.freeze(node, length());
      break;
    case 15:
      cluster.site.cutFromWorkers(node, length(), mode);
      break;
    default:
      cluster.state.unanswered = 0.2;
      cluster.world.after(length(), () => {
        cluster.state.unanswered = 0;
      });
  }
};
