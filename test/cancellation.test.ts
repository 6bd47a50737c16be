import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { Cluster } from "./sim/cluster.js";
import { CANCELLATION_BOUND, submitLongJobs } from "./sim/fault-combinations.js";
import { assertRecovered, type Fault, playFaultyDay, runningMachineAddresses } from "./sim/faulty-day.js";
import { type HeartbeatResponseBody, heartbeatResponseBody } from "./sim/heartbeat-responses.js";

const REFUSAL_TIME = 14 * S;
/** Longer than `cancel_s`. */
const OUTAGE_TIME = 64 * S;

// The time limit for stopping the tasks of a confirmed cancellation -------------------------------------------------

type Refusal = (cluster: Cluster, leader: number) => void;

const REFUSALS: Readonly<Record<string, Refusal>> = {
  refuses: (c, at) => c.state.refuse(c.site.nodeAddress(at), REFUSAL_TIME),
  resets: (c, at) => c.site.cutFromState(at, REFUSAL_TIME, "reset"),
  "holds back": (c, at) => c.site.cutFromState(at, REFUSAL_TIME, "hold"),
};

const FAILOVERS: Readonly<Record<string, Fault>> = {
  "no failover": () => undefined,
  "a failover before": (c) => c.crash(c.shardLeader(), 20 * S),
  "a failover during": (c) => c.world.after(30 * S, () => c.crash(c.shardLeader(), 5 * S)),
  "a failover after": (c) => c.world.after(16 * S + OUTAGE_TIME, () => c.crash(c.shardLeader(), 0.2 * S)),
};

const NETWORK_FAULTS: Readonly<Record<string, Fault>> = {
  "no other fault": () => undefined,
  "stop commands lost": (c) => c.site.dropToMachines(runningMachineAddresses(c, 99), 120 * S, ["requests"]),
  "machines receive nothing": (c) =>
    c.site.dropToMachines(runningMachineAddresses(c, 4), 60 * S, ["requests", "answers"]),
  "commands delayed": (c) => c.site.holdUpCommands("requests", 0.5, 9 * S, 60 * S),
};

/**
 * Long-running jobs that are not cancelled before the refusal starts. There are enough of them that some cancellations
 * reach controllers other than the shard leader.
 */
const CANCELLED = ["wk-800002", "wk-800003", "wk-800004", "wk-810003", "wk-810004"];

/**
 * The key-value store refuses requests of the shard leader only, while other controllers confirm cancellations. Then it
 * is unavailable to all for longer than `cancel_s`, while the workers go on sending heartbeats to the shard leader.
 */
const runRefusalAndOutage = async (
  setup: { mesh: boolean; seed?: number },
  refusal: Refusal,
  ...otherFaults: readonly Fault[]
): Promise<Cluster> => {
  const more: Fault = (c) => {
    submitLongJobs(c);
    // Cancelled between the start of the refusal and the outage, so that only the other controllers confirm them.
    for (const ref of CANCELLED) c.world.at(72.5 * S, () => c.users.cancel(ref));
  };
  const refusalAndOutage: Fault = (c) =>
    c.world.after(12 * S, () => {
      refusal(c, c.shardLeader());
      c.world.after(2 * S, () => c.state.outage(OUTAGE_TIME));
    });
  return playFaultyDay({ ...setup, submitExtraJobs: more }, ...otherFaults, refusalAndOutage);
};

/**
 * For manual runs: RAINRIDGE_MEETINGS=all runs every combination, each with the mesh on and off. Otherwise some
 * combinations are left out, and the mesh is on and off by turns.
 */
const ALL = process.env.RAINRIDGE_MEETINGS === "all";

for (const [refusalIndex, [refusal, refuse]] of Object.entries(REFUSALS).entries()) {
  for (const [failoverIndex, [failover, crash]] of Object.entries(FAILOVERS).entries()) {
    for (const [faultIndex, [networkFault, breakNetwork]] of Object.entries(NETWORK_FAULTS).entries()) {
      for (const mesh of ALL ? [false, true] : [(refusalIndex + failoverIndex + faultIndex) % 2 === 0]) {
        // By default, `refuses` runs in all combinations, `resets` and `holds back` only in those that differ most.
        if (
          !ALL &&
          refusal !== "refuses" &&
          (networkFault === "machines receive nothing" || failover === "a failover after")
        )
          continue;
        test(`cancelled tasks end in time: the store ${refusal} the leader's requests, then an outage, ${failover}, ${networkFault}, mesh ${mesh ? "on" : "off"}`, async () => {
          const cluster = await runRefusalAndOutage({ mesh }, refuse, crash, breakNetwork);
          await cluster.run(14 * S);
          const confirmed = CANCELLED.filter((id) => cluster.checker.terminalPhaseOf(id) === "withdrawn");
          if (failover !== "a failover before") assert.ok(confirmed.length > 0, "no cancellation was confirmed");
          await cluster.run(OUTAGE_TIME + 10 * S);
          cluster.checker.faultsEndedAt = cluster.world.now + 120 * S;
          await cluster.run(200 * S);
          const { longestUs, tasks } = cluster.checker.afterCancelled;
          assert.ok(
            tasks > 0 && longestUs <= CANCELLATION_BOUND,
            `${tasks} tasks, ${longestUs / S} of ${CANCELLATION_BOUND / S} s`,
          );
          assertRecovered(cluster);
        });
      }
    }
  }
}

/**
 * Alters, in transit, the responses of controllers to heartbeats. `alter` receives null for a response whose status is
 * not 200, and returns null to leave a response unchanged.
 */
const tampering =
  (alter: (payload: HeartbeatResponseBody | null, machine: string) => unknown): Fault =>
  (c) => {
    c.network.tamper = (from, _to, request, response) => {
      if (request.target !== "/hello") return response;
      const altered = alter(heartbeatResponseBody(request, response), from);
      return altered === null ? response : { ...response, status: 200, body: JSON.stringify(altered) };
    };
  };

test("the checker detects a shard leader that still sends responses after its lease has expired", async () => {
  const last = new Map<string, number>();
  const repeatLastToken = tampering((payload, machine) => {
    if (payload !== null) last.set(machine, payload.baton);
    const baton = last.get(machine);
    return payload === null && baton !== undefined ? { baton, orders: [] } : null;
  });
  const cluster = await runRefusalAndOutage({ mesh: false }, REFUSALS.refuses as Refusal, repeatLastToken);
  await assert.rejects(cluster.run(200 * S), /ran_cancelled/);
});

test("the checker detects a response that renews the worker's lease without the stop command", async () => {
  const withoutStops = tampering(
    (payload) => payload && { ...payload, orders: payload.orders.filter(({ verb }) => verb !== "halt") },
  );
  const networkAndCloudFault: Fault = (c) => {
    c.site.dropToMachines(runningMachineAddresses(c, 99), 120 * S, ["requests"]);
    c.cloud.outageUntil = c.world.now + 120 * S;
  };
  const cluster = await playFaultyDay(
    { mesh: false, submitExtraJobs: submitLongJobs },
    withoutStops,
    networkAndCloudFault,
  );
  await assert.rejects(cluster.run(100 * S), /ran_cancelled/);
});

test("no shard leader renews a lease without the stop command, even before its fencing token is confirmed", async () => {
  // The cloud cannot delete machines, commands to the worker are lost, and it gets one response from each new shard
  // leader. If these responses renew its lease without the stop command, tasks of a cancelled job run past `cancel_s`.
  const cluster = await playFaultyDay({ mesh: false, submitExtraJobs: submitLongJobs });
  const [task] = cluster.taskStarts.filter(({ task }) => task.startsWith("wk-800004/"));
  assert.ok(task !== undefined);
  const machine = cluster.cloud.running().find(({ ref }) => cluster.checker.machinesOf(task.task).includes(ref));
  const address = machine?.worker?.host.address ?? "";
  assert.notEqual(address, "");
  cluster.cloud.outageUntil = cluster.world.now + 120 * S;
  cluster.site.dropToMachines(new Set([address]), 120 * S, ["requests"]);
  let open = false;
  const answeredAt: number[] = [];
  cluster.network.cut((a, b) => !open && a === address && b !== address, 120 * S, "reset");
  cluster.network.tamper = (from, _to, request, response) => {
    if (from === address && request.target === "/hello" && response.status === 200) {
      answeredAt.push(cluster.world.now);
      cluster.world.after(10_000, () => {
        open = false;
      });
    }
    return response;
  };
  cluster.users.cancel("wk-800004");
  for (let at = 8; at < 100; at += 9) {
    cluster.world.after(at * S, () => {
      for (const node of [0, 1, 2]) cluster.crash(node, 0.2 * S);
      cluster.world.after(0.5 * S, () => {
        open = true;
      });
    });
  }
  await cluster.run(110 * S);
  // Enough shard leaders responded that each renewal came well before the one by the previous leader expired.
  assert.ok(answeredAt.length >= 8, `${answeredAt.length} responses`);
  assert.equal(cluster.checker.terminalPhaseOf("wk-800004"), "withdrawn");
  assert.deepEqual(cluster.checker.machinesOf(task.task), []);
});
