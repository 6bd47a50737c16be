import assert from "node:assert/strict";
import { test } from "node:test";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import type { Services, ShardLease } from "../src/coordination/context.js";
import { UnreachableZones } from "../src/coordination/workers/unreachable-zones.js";
import { HostClock, S, World } from "../src/model/index.js";
import type { WriteOperation } from "../src/protocol/key-value-store.js";
import { decodeUnreachableZones } from "../src/storage/unreachable-zones-record.js";
import type { Micros } from "../src/transport/clock.js";
import { forSeeds, type Random } from "./random.js";

const nothing = (): undefined => undefined;
const CLOCK_ERROR = 50_000;
const WALL = 1_700_000_000_000;

/** The record as the state service has it, and leaders one after the other. */
class Stage {
  readonly world = new World();
  value: unknown = null;
  version = 0;
  private leaders = 0;
  private revision = 0;
  /** What becomes of the next writes. */
  fate: () => "ok" | "lost" | "late" | "refused" = () => "ok";

  constructor(private readonly random: Random | null = null) {
    this.world.now = 1_000 * S;
  }

  /** A leader that takes the block now, and its machines. */
  hold(machines: readonly Machine[]): UnreachableZones {
    this.leaders += 1;
    const leader = this.leaders;
    const off = this.random === null ? 0 : (this.random.next() * 2 - 1) * CLOCK_ERROR;
    const clock = new HostClock(this.world, 1, leader * 1_000_000);
    const cache = {
      entries: { get: () => (this.value === null ? undefined : { value: this.value, version: this.version }) },
      sync: async () => true,
    };
    const submit = async (
      conditions: ReadonlyMap<string, unknown>,
      [write]: readonly WriteOperation[],
    ): Promise<unknown> => {
      await new Promise<void>((resolve) => this.world.after(5_000, resolve));
      // Conditional on the block's lease: a leader that was followed by another writes nothing.
      if (leader !== this.leaders) return { kind: "conflict", keys: ["c/block/0"] };
      const fate = this.fate();
      if (fate === "refused" || write === undefined) return { kind: "refused" };
      const apply = (): boolean => {
        if (leader !== this.leaders || conditions.get("c/silence/0") !== this.version) return false;
        this.revision += 1;
        this.value = write.kind === "put" ? JSON.parse(JSON.stringify(write.value)) : null;
        // As the state service has it: what is not there has version 0, however often it was there before.
        this.version = write.kind === "put" ? this.revision : 0;
        return true;
      };
      if (fate === "late") {
        this.world.after(this.random?.int(1, 6_000_000) ?? S, apply);
        return { kind: "lost" };
      }
      if (!apply()) return { kind: "conflict", keys: ["c/silence/0"] };
      return fate === "lost" ? { kind: "lost" } : { kind: "ok", version: this.version };
    };
    const services = {
      clock,
      cache,
      transactions: { submit },
      log: { error: nothing, info: nothing, debug: nothing },
      settings: { maxClockError: CLOCK_ERROR },
      wallClock: () => WALL + (this.world.now + off) / 1_000,
    } as unknown as Services;
    const lease: ShardLease = { shard: 0, epoch: leader, key: "c/block/0", version: leader, isValid: () => true };
    return new UnreachableZones(services, lease, () => machines);
  }

  /** A leader comes and goes that neither reads nor writes the record. */
  skip(): void {
    this.leaders += 1;
  }

  steady(leader: number): number {
    return this.world.now + leader * 1_000_000;
  }
}

const machineIn = (zone: string, base: number): Machine => {
  const machine = createMachine({ name: "n-1", typeName: "big", type: null, zone, spot: false }, 0 as never);
  machine.state = "up";
  machine.lease.renewedAt = base as Micros;
  return machine;
};

test("a leader puts no earlier answer on record than it can know of", async () => {
  const stage = new Stage();
  const taken = stage.world.now;
  // Known from the records only: whoever held the block before may have answered it a moment ago.
  const unheard = machineIn("west", 0);
  unheard.state = "booting";
  const unreachableZones = stage.hold([unheard]);
  await stage.world.run(taken + 6 * S, nothing);
  unreachableZones.markUnreachable(new Set(["west"]));
  await stage.world.run(taken + 7 * S, nothing);
  const since = decodeUnreachableZones(stage.value).unansweredSinceMs.west ?? 0;
  assert.ok(since >= WALL + taken / 1_000, `${since} is before the leader's beginning`);
});

test("answers stop before the record may stand, and come back once it surely does not", async () => {
  const stage = new Stage();
  const machine = machineIn("west", stage.steady(1));
  const unreachableZones = stage.hold([machine]);
  assert.equal(unreachableZones.mayAnswer("west"), true);
  unreachableZones.markUnreachable(new Set(["west"]));
  assert.equal(unreachableZones.mayAnswer("west"), false, "answered while the write was under way");
  assert.equal(unreachableZones.mayAnswer("east"), true);
  await stage.world.run(stage.world.now + S, nothing);
  // Without an answer it may have been applied.
  stage.fate = () => "lost";
  unreachableZones.markReachable("west");
  await stage.world.run(stage.world.now + S, nothing);
  assert.equal(unreachableZones.mayAnswer("west"), false);
  stage.fate = () => "ok";
  for (let step = 0; step < 4; step += 1) {
    unreachableZones.markUnreachable(new Set());
    await stage.world.run(stage.world.now + S, nothing);
  }
  assert.equal(unreachableZones.mayAnswer("west"), true);
  assert.deepEqual(decodeUnreachableZones(stage.value).unansweredSinceMs, {});
});

test("machines whose zone is not known yet are no zone", async () => {
  // After a handover some machines known from the records only were not heard of; "" went on record as a cut zone,
  // and the next leader took the leases of all machines for over, since at first it knows no machine's zone.
  const stage = new Stage();
  const first = stage.hold([machineIn("", stage.steady(1)), machineIn("west", stage.steady(1))]);
  first.markUnreachable(new Set(["", "west"]));
  await stage.world.run(stage.world.now + S, nothing);
  assert.deepEqual(Object.keys(decodeUnreachableZones(stage.value).unansweredSinceMs), ["west"]);
  const second = stage.hold([]);
  assert.equal(second.unansweredSince(""), null);
  assert.equal(second.mayAnswer(""), true);
});

test("a record is believed from the leader just before only", async () => {
  const stage = new Stage();
  const machine = machineIn("west", stage.steady(1));
  const first = stage.hold([machine]);
  first.markUnreachable(new Set(["west"]));
  await stage.world.run(stage.world.now + S, nothing);
  // In between, one of a version that knows no record, and so answers.
  stage.skip();
  const third = stage.hold([]);
  assert.equal(third.unansweredSince("west"), null);
  assert.equal(third.mayAnswer("west"), true);
  third.markUnreachable(new Set(["west"]));
  await stage.world.run(stage.world.now + S, nothing);
  const fourth = stage.hold([]);
  assert.notEqual(fourth.unansweredSince("west"), null);
  assert.equal(fourth.mayAnswer("west"), false);
  await stage.world.run(stage.world.now + S, nothing);
  // It has put it under its own number by itself.
  assert.notEqual(stage.hold([]).unansweredSince("west"), null);
});

test("a zone of dead machines in which one has just come up is answered, and stays so", async () => {
  const stage = new Stage();
  const unreachableZones = stage.hold([machineIn("west", stage.steady(1))]);
  let answered = 0;
  for (let step = 0; step < 200; step += 1) {
    // Of the machines known to be up nothing is heard; a new one reports every three seconds.
    unreachableZones.markUnreachable(new Set(["west"]));
    if (step % 12 === 11) {
      if (unreachableZones.mayAnswer("west")) answered += 1;
      unreachableZones.markReachable("west");
    }
    await stage.world.run(stage.world.now + 250_000, nothing);
  }
  assert.ok(answered >= 14, `${answered} of 16 reports answered`);
});

test("whatever is lost and whoever follows, nobody was answered after the time that the next leader believes", async () => {
  const runs: Promise<void>[] = [];
  forSeeds(300, (random) => {
    const play = async (): Promise<void> => {
      const stage = new Stage(random);
      stage.fate = () => random.pick(["ok", "ok", "lost", "late", "refused"]);
      /** True time of the last answer in the zone, by any leader. */
      let answered = stage.world.now;
      let recorded = 0;
      for (let leader = 1; leader <= 5; leader += 1) {
        const machine = machineIn("west", 0);
        machine.state = "booting";
        const unreachableZones = stage.hold([machine]);
        const believed = unreachableZones.unansweredSince("west");
        if (believed !== null) {
          recorded += 1;
          const trueTime = believed - leader * 1_000_000;
          assert.ok(trueTime >= answered, `leader ${leader} believes ${trueTime}, answered ${answered}`);
        }
        let cut = false;
        for (let step = random.int(1, 25); step > 0; step -= 1) {
          if (random.chance(0.2)) cut = !cut;
          if (cut) unreachableZones.markUnreachable(new Set(["west"]));
          else {
            unreachableZones.markUnreachable(new Set());
            if (unreachableZones.mayAnswer("west")) {
              answered = stage.world.now;
              machine.state = "up";
              machine.lease.renewedAt = stage.steady(leader) as Micros;
            } else unreachableZones.markReachable("west");
          }
          await stage.world.run(stage.world.now + random.int(1, 2_000_000), nothing);
        }
      }
      assert.ok(recorded >= 0);
    };
    runs.push(
      play().catch((error: unknown) => {
        throw new Error(`seed ${random.seed}`, { cause: error });
      }),
    );
  });
  await Promise.all(runs);
});
