import assert from "node:assert/strict";
import { test } from "node:test";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import type { Services, ShardLease } from "../src/coordination/context.js";
import { UnreachableZones } from "../src/coordination/workers/unreachable-zones.js";
import { HostClock, S, Simulation } from "../src/model/index.js";
import type { WriteOperation } from "../src/protocol/key-value-store.js";
import { decodeUnreachableZones } from "../src/storage/unreachable-zones-record.js";
import type { Micros } from "../src/transport/clock.js";
import { forSeeds, type Random } from "./random.js";

const nothing = (): undefined => undefined;
const CLOCK_ERROR = 50_000;
const WALL_CLOCK_START = 1_700_000_000_000;

/** A simulated key-value store with the record, and a sequence of leaders that read and write it. */
class RecordFixture {
  readonly world = new Simulation();
  value: unknown = null;
  version = 0;
  private leaders = 0;
  private revision = 0;
  /** Decides the outcome of each write. `late`: applied after it was reported as lost. */
  outcome: () => "ok" | "lost" | "late" | "refused" = () => "ok";

  constructor(private readonly random: Random | null = null) {
    this.world.now = 1_000 * S;
  }

  /** Makes a new leader of the shard, which has these machines. */
  startLeader(machines: readonly Machine[]): UnreachableZones {
    this.leaders += 1;
    const leader = this.leaders;
    const clockOffset = this.random === null ? 0 : (this.random.next() * 2 - 1) * CLOCK_ERROR;
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
      // The write is conditional on the shard's lease: a leader that has been replaced writes nothing.
      if (leader !== this.leaders) return { kind: "conflict", keys: ["c/block/0"] };
      const outcome = this.outcome();
      if (outcome === "refused" || write === undefined) return { kind: "refused" };
      const apply = (): boolean => {
        if (leader !== this.leaders || conditions.get("c/silence/0") !== this.version) return false;
        this.revision += 1;
        this.value = write.kind === "put" ? JSON.parse(JSON.stringify(write.value)) : null;
        // As in the real key-value store, a missing key has version 0, even if it existed before.
        this.version = write.kind === "put" ? this.revision : 0;
        return true;
      };
      if (outcome === "late") {
        this.world.after(this.random?.int(1, 6_000_000) ?? S, apply);
        return { kind: "lost" };
      }
      if (!apply()) return { kind: "conflict", keys: ["c/silence/0"] };
      return outcome === "lost" ? { kind: "lost" } : { kind: "ok", version: this.version };
    };
    const services = {
      clock,
      cache,
      transactions: { submit },
      log: { error: nothing, info: nothing, debug: nothing },
      settings: { maxClockError: CLOCK_ERROR },
      wallClock: () => WALL_CLOCK_START + (this.world.now + clockOffset) / 1_000,
    } as unknown as Services;
    const lease: ShardLease = { shard: 0, epoch: leader, key: "c/block/0", version: leader, isValid: () => true };
    return new UnreachableZones(services, lease, () => machines);
  }

  /** Skips an epoch: its leader neither reads nor writes the record. */
  skipEpoch(): void {
    this.leaders += 1;
  }

  monotonicTime(leader: number): number {
    return this.world.now + leader * 1_000_000;
  }
}

const machineIn = (zone: string, renewedAt: number): Machine => {
  const machine = createMachine({ name: "n-1", typeName: "big", type: null, zone, spot: false }, 0 as never);
  machine.state = "up";
  machine.lease.renewedAt = renewedAt as Micros;
  return machine;
};

test("a leader records no last response earlier than its own start for machines without a heartbeat", async () => {
  const fixture = new RecordFixture();
  const leaderStart = fixture.world.now;
  // Known only from stored records: the previous leader may have responded to it a moment ago.
  const bootingMachine = machineIn("west", 0);
  bootingMachine.state = "booting";
  const unreachableZones = fixture.startLeader([bootingMachine]);
  await fixture.world.run(leaderStart + 6 * S, nothing);
  unreachableZones.markUnreachable(new Set(["west"]));
  await fixture.world.run(leaderStart + 7 * S, nothing);
  const since = decodeUnreachableZones(fixture.value).unansweredSinceMs.west ?? 0;
  assert.ok(since >= WALL_CLOCK_START + leaderStart / 1_000, `${since} is before the leader's start`);
});

test("responses stop before a zone may be on record, and resume once it is certainly off the record", async () => {
  const fixture = new RecordFixture();
  const machine = machineIn("west", fixture.monotonicTime(1));
  const unreachableZones = fixture.startLeader([machine]);
  assert.equal(unreachableZones.mayRespond("west"), true);
  unreachableZones.markUnreachable(new Set(["west"]));
  assert.equal(unreachableZones.mayRespond("west"), false, "responses allowed while the write is in flight");
  assert.equal(unreachableZones.mayRespond("east"), true);
  await fixture.world.run(fixture.world.now + S, nothing);
  // The outcome of this write is unknown: the zone may still be on record.
  fixture.outcome = () => "lost";
  unreachableZones.recordHeartbeatFrom("west");
  await fixture.world.run(fixture.world.now + S, nothing);
  assert.equal(unreachableZones.mayRespond("west"), false);
  fixture.outcome = () => "ok";
  for (let step = 0; step < 4; step += 1) {
    unreachableZones.markUnreachable(new Set());
    await fixture.world.run(fixture.world.now + S, nothing);
  }
  assert.equal(unreachableZones.mayRespond("west"), true);
  assert.deepEqual(decodeUnreachableZones(fixture.value).unansweredSinceMs, {});
});

test("machines whose zone is not known yet are not put on record as a zone", async () => {
  // After a failover, machines known only from stored records have the zone "". When that went on record as cut off,
  // the next leader, which at first knows no machine's zone, considered the leases of all machines expired.
  const fixture = new RecordFixture();
  const first = fixture.startLeader([
    machineIn("", fixture.monotonicTime(1)),
    machineIn("west", fixture.monotonicTime(1)),
  ]);
  first.markUnreachable(new Set(["", "west"]));
  await fixture.world.run(fixture.world.now + S, nothing);
  assert.deepEqual(Object.keys(decodeUnreachableZones(fixture.value).unansweredSinceMs), ["west"]);
  const second = fixture.startLeader([]);
  assert.equal(second.unansweredSince(""), null);
  assert.equal(second.mayRespond(""), true);
});

test("a record is accepted only if the directly preceding leader wrote it", async () => {
  const fixture = new RecordFixture();
  const machine = machineIn("west", fixture.monotonicTime(1));
  const first = fixture.startLeader([machine]);
  first.markUnreachable(new Set(["west"]));
  await fixture.world.run(fixture.world.now + S, nothing);
  // A leader in between, of a version that does not know the record and sends responses.
  fixture.skipEpoch();
  const third = fixture.startLeader([]);
  assert.equal(third.unansweredSince("west"), null);
  assert.equal(third.mayRespond("west"), true);
  third.markUnreachable(new Set(["west"]));
  await fixture.world.run(fixture.world.now + S, nothing);
  const fourth = fixture.startLeader([]);
  assert.notEqual(fourth.unansweredSince("west"), null);
  assert.equal(fourth.mayRespond("west"), false);
  await fixture.world.run(fixture.world.now + S, nothing);
  // The fourth leader has rewritten the record under its own epoch by itself.
  assert.notEqual(fixture.startLeader([]).unansweredSince("west"), null);
});

test("a new machine in a zone of dead machines keeps getting responses", async () => {
  const fixture = new RecordFixture();
  const unreachableZones = fixture.startLeader([machineIn("west", fixture.monotonicTime(1))]);
  let responses = 0;
  for (let step = 0; step < 200; step += 1) {
    // The zone is silent apart from one new machine, which sends a heartbeat every three seconds.
    unreachableZones.markUnreachable(new Set(["west"]));
    if (step % 12 === 11) {
      if (unreachableZones.mayRespond("west")) responses += 1;
      unreachableZones.recordHeartbeatFrom("west");
    }
    await fixture.world.run(fixture.world.now + 250_000, nothing);
  }
  assert.ok(responses >= 14, `${responses} of 16 heartbeats got a response`);
});

test("after lost, late and refused writes, no response is later than the time that the next leader inherits", async () => {
  const runs: Promise<void>[] = [];
  forSeeds(300, (random) => {
    const runLeaders = async (): Promise<void> => {
      const fixture = new RecordFixture(random);
      fixture.outcome = () => random.pick(["ok", "ok", "lost", "late", "refused"]);
      /** True time of the last response in the zone, by any leader. */
      let lastResponseAt = fixture.world.now;
      let recorded = 0;
      for (let leader = 1; leader <= 5; leader += 1) {
        const machine = machineIn("west", 0);
        machine.state = "booting";
        const unreachableZones = fixture.startLeader([machine]);
        const inheritedSince = unreachableZones.unansweredSince("west");
        if (inheritedSince !== null) {
          recorded += 1;
          const trueTime = inheritedSince - leader * 1_000_000;
          assert.ok(
            trueTime >= lastResponseAt,
            `leader ${leader} inherits ${trueTime}, last response at ${lastResponseAt}`,
          );
        }
        let cut = false;
        for (let step = random.int(1, 25); step > 0; step -= 1) {
          if (random.chance(0.2)) cut = !cut;
          if (cut) unreachableZones.markUnreachable(new Set(["west"]));
          else {
            unreachableZones.markUnreachable(new Set());
            if (unreachableZones.mayRespond("west")) {
              lastResponseAt = fixture.world.now;
              machine.state = "up";
              machine.lease.renewedAt = fixture.monotonicTime(leader) as Micros;
            } else unreachableZones.recordHeartbeatFrom("west");
          }
          await fixture.world.run(fixture.world.now + random.int(1, 2_000_000), nothing);
        }
      }
      assert.ok(recorded >= 0);
    };
    runs.push(
      runLeaders().catch((error: unknown) => {
        throw new Error(`seed ${random.seed}`, { cause: error });
      }),
    );
  });
  await Promise.all(runs);
});
