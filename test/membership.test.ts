import assert from "node:assert/strict";
import { test } from "node:test";
import type { Services, ShardLease } from "../src/coordination/context.js";
import { Membership } from "../src/coordination/leadership/membership.js";
import { HostClock, S, Simulation } from "../src/model/index.js";
import type { KeyValueEntry } from "../src/protocol/key-value-store.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { memberKey, shardKey } from "../src/storage/keys.js";
import { settingsText } from "./fixtures.js";
import { noop, silentLog } from "./shard-fixtures.js";

const settings = parseSettings(settingsText(0));
const [MEMBER_KEY, SHARD_KEY] = [memberKey(settings.label), shardKey(0)];

test("a shard assigned to a member whose late join carries a lease that is not renewed is not acquired", async () => {
  // The response to the first join is lost, and the second join succeeds. At the end of an outage the second join's key
  // is deleted, and the first join is applied late. Shards assigned to that member end with the first lease, while
  // their validity would be computed from renewals of the second one.
  const world = new Simulation();
  const clock = new HostClock(world, 1, 1_000_000);
  const entries = new Map<string, KeyValueEntry>();
  let grants = 0;
  let joins = 0;
  const store = {
    get: async () => ({ kind: "missing" }),
    grantLease: async () => {
      grants += 1;
      return { kind: "ok", value: grants };
    },
    transact: async () => {
      joins += 1;
      return joins === 1 ? { kind: "lost" } : { kind: "ok", version: 5 };
    },
    renewLease: async () => ({ kind: "ok", value: true }),
  };
  let notifyChange: () => void = noop;
  const cache = {
    entries,
    loaded: true,
    get freshAsOf() {
      return clock.now();
    },
    onChange: (listener: () => void) => {
      notifyChange = listener;
    },
    sync: async () => true,
  };
  const acquired: ShardLease[] = [];
  const services = { clock, log: silentLog, settings, store, cache } as unknown as Services;
  const membership = new Membership(services, "inc-1", {
    shardAcquired: (lease) => acquired.push(lease),
    shardReleased: noop,
  });
  void membership.run();
  await new Promise(setImmediate);
  await world.run(2 * S, noop);
  assert.equal(grants, 2);
  const put = (key: string, value: unknown, version: number): void => {
    entries.set(key, { key, value, version });
    notifyChange();
  };
  put("c/leader", { label: "ctl-1", incarnation: "inc-9" }, 6);
  put(MEMBER_KEY, { lease: 1, incarnation: "inc-1" }, 7);
  put(SHARD_KEY, { label: "ctl-0", incarnation: "inc-1", number: 3 }, 8);
  assert.equal(acquired.length, 0);
  put(MEMBER_KEY, { lease: 2, incarnation: "inc-1" }, 9);
  assert.equal(acquired.length, 1);
  assert.equal(acquired[0]?.isValid(), true);
  // The shard is released when the member record names another lease.
  put(MEMBER_KEY, { lease: 1, incarnation: "inc-1" }, 10);
  assert.equal(acquired[0]?.isValid(), false);
});
