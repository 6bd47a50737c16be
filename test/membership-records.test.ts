import assert from "node:assert/strict";
import { test } from "node:test";
import {
  decodeShardEpochRecord,
  encodeClusterLeaderRecord,
  encodeShardEpochRecord,
  isClusterLeader,
} from "../src/storage/membership-records.js";

test("the record of the cluster leader is encoded in its stored form", () => {
  const stored = encodeClusterLeaderRecord({ label: "ctl-0", incarnation: "ab12" });
  assert.equal(JSON.stringify(stored), '{"label":"ctl-0","incarnation":"ab12"}');
});

test("a process is the cluster leader only if the record has its incarnation", () => {
  assert.equal(isClusterLeader({ label: "ctl-0", incarnation: "ab12" }, "ab12"), true);
  assert.equal(isClusterLeader({ incarnation: "ab12" }, "ab12"), true);
  for (const value of [{ label: "ctl-0", incarnation: "cd34" }, { incarnation: 12 }, {}, [], 5, "ab12"])
    assert.equal(isClusterLeader(value, "ab12"), false);
  assert.throws(() => isClusterLeader(null, "ab12"), TypeError);
});

test("the last shard epoch is encoded in its stored form, and decodes to 0 where it is missing", () => {
  assert.equal(JSON.stringify(encodeShardEpochRecord({ epoch: 7 })), '{"number":7}');
  assert.deepEqual(decodeShardEpochRecord({ number: 7 }), { epoch: 7 });
  assert.deepEqual(decodeShardEpochRecord({ number: "7" }), { epoch: 7 });
  for (const value of [undefined, null, {}, { number: null }, [], 5])
    assert.deepEqual(decodeShardEpochRecord(value), { epoch: 0 });
});
