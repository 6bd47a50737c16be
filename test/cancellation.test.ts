import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { Cluster } from "./sim/cluster.js";
import { CANCELLATION_BOUND, submitLongJobs } from "./sim/fault-combinations.js";
import { assertRecovered, type Fault, machinesWithTasks, playFaultyDay } from "./sim/faulty-day.js";

const REFUSED = 14 * S;
/** Longer than `cancel_s`. */
const AWAY = 64 * S;

// The deadline of a confirmed cancellation ------------------------------------------------------------------------

type Refusal = (cluster: Cluster, leader: number) => void;

const REFUSALS: Readonly<Record<string, Refusal>> = {
  refuses: (c, at) => c.state.refuse(c.site.nodeAddress(at), REFUSED),
  resets: (c, at) => c.site.cutFromState(at, REFUSED, "reset"),
  "holds back": (c, at) => c.site.cutFromState(at, REFUSED, "hold"),
};

const TAKEOVERS: Readonly<Record<string, Fault>> = {
  "no takeover": () => undefined,
  "a takeover before": (c) => c.crash(c.holder(), 20 * S),
  "a takeover during": (c) => c.world.after(30 * S, () => c.crash(c.holder(), 5 * S)),
  "a takeover after": (c) => c.world.after(16 * S + AWAY, () => c.crash(c.holder(), 0.2 * S)),
};

const LOSSES: Readonly<Record<string, Fault>> = {
  "nothing else": () => undefined,
  "stops lost": (c) => c.site.deafen(machinesWithTasks(c, 99), 120 * S, ["requests"]),
  "deaf machines": (c) => c.site.deafen(machinesWithTasks(c, 4), 60 * S, ["requests", "answers"]),
  "commands held up": (c) => c.site.holdUpCommands("requests", 0.5, 9 * S, 60 * S),
};

/** Of the jobs that run for minutes, those that are not cancelled before the refusal: enough that not all requests reach the holder. */
const CANCELLED = ["wk-800002", "wk-800003", "wk-800004", "wk-810003", "wk-810004"];

/**
 * The state service refuses the holder alone, others confirm cancellations, and then it is away for everybody for longer than
 * `cancel_s`, while the workers go on reporting to the holder.
 */
const gap = async (
  setup: { mesh: boolean; seed?: number },
  refusal: Refusal,
  ...beside: readonly Fault[]
): Promise<Cluster> => {
  const more: Fault = (c) => {
    submitLongJobs(c);
    // Given up by their users right between the refusal and the outage, so that only the others confirm them.
    for (const ref of CANCELLED) c.world.at(72.5 * S, () => c.users.cancel(ref));
  };
  const meeting: Fault = (c) =>
    c.world.after(12 * S, () => {
      refusal(c, c.holder());
      c.world.after(2 * S, () => c.state.outage(AWAY));
    });
  return playFaultyDay({ ...setup, more }, ...beside, meeting);
};

/** By hand: RAINRIDGE_MEETINGS=all plays each of them with the mesh on and off; else they take turns. */
const ALL = process.env.RAINRIDGE_MEETINGS === "all";

for (const [way, [refusal, refuse]] of Object.entries(REFUSALS).entries()) {
  for (const [number, [takeover, take]] of Object.entries(TAKEOVERS).entries()) {
    for (const [other, [loss, lose]] of Object.entries(LOSSES).entries()) {
      for (const mesh of ALL ? [false, true] : [(way + number + other) % 2 === 0]) {
        // All with the refusal itself; the other two ways with what makes most of a difference.
        if (!ALL && refusal !== "refuses" && (loss === "deaf machines" || takeover === "a takeover after")) continue;
        test(`the state service ${refusal} for the holder alone, cancellations, then away for all, ${takeover}, ${loss}, mesh ${mesh ? "on" : "off"}`, async () => {
          const cluster = await gap({ mesh }, refuse, take, lose);
          await cluster.run(14 * S);
          const confirmed = CANCELLED.filter((id) => cluster.checker.finalOf(id) === "withdrawn");
          if (takeover !== "a takeover before") assert.ok(confirmed.length > 0, "nobody confirmed anything");
          await cluster.run(AWAY + 10 * S);
          cluster.checker.calmFrom = cluster.world.now + 120 * S;
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

/** Answers of controllers to reports, changed on their way. */
const tampering =
  (alter: (given: { baton: number; orders: { verb: string }[] } | null, machine: string) => unknown): Fault =>
  (c) => {
    c.network.tamper = (from, _to, request, response) => {
      if (request.target !== "/hello") return response;
      const given = response.status === 200 ? JSON.parse(response.body) : null;
      const altered = alter(given, from);
      return altered === null ? response : { ...response, status: 200, body: JSON.stringify(altered) };
    };
  };

test("a holder that goes on answering after its right has ended is caught", async () => {
  const last = new Map<string, number>();
  const goesOn = tampering((given, machine) => {
    if (given !== null) last.set(machine, given.baton);
    const baton = last.get(machine);
    return given === null && baton !== undefined ? { baton, orders: [] } : null;
  });
  const cluster = await gap({ mesh: false }, REFUSALS.refuses as Refusal, goesOn);
  await assert.rejects(cluster.run(200 * S), /ran_cancelled/);
});

test("an answer that renews and leaves the stop out is caught", async () => {
  const without = tampering(
    (given) => given && { ...given, orders: given.orders.filter(({ verb }) => verb !== "halt") },
  );
  const lost: Fault = (c) => {
    c.site.deafen(machinesWithTasks(c, 99), 120 * S, ["requests"]);
    c.cloud.outageUntil = c.world.now + 120 * S;
  };
  const cluster = await playFaultyDay({ mesh: false, more: submitLongJobs }, without, lost);
  await assert.rejects(cluster.run(100 * S), /ran_cancelled/);
});

test("no holder renews without the stop, not even once each before its token has been seen", async () => {
  // The cloud can delete nothing, commands do not get there, and of each new holder one answer only: the machine's lease
  // was renewed again and again by answers that held no stop, and the withdrawn job's tasks ran on past `cancel_s`.
  const cluster = await playFaultyDay({ mesh: false, more: submitLongJobs });
  const [task] = cluster.begun.filter(({ task }) => task.startsWith("wk-800004/"));
  assert.ok(task !== undefined);
  const home = cluster.cloud.running().find(({ ref }) => cluster.checker.placesOf(task.task).includes(ref));
  const address = home?.worker?.host.address ?? "";
  assert.notEqual(address, "");
  cluster.cloud.outageUntil = cluster.world.now + 120 * S;
  cluster.site.deafen(new Set([address]), 120 * S, ["requests"]);
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
  // Each of the holders did renew, well within a worker's lease of the one before.
  assert.ok(answeredAt.length >= 8, `${answeredAt.length} answers`);
  assert.equal(cluster.checker.finalOf("wk-800004"), "withdrawn");
  assert.deepEqual(cluster.checker.placesOf(task.task), []);
});
