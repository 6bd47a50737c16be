import assert from "node:assert/strict";
import { test } from "node:test";
import { formatJson, MalformedMessageError, parseJson, readUint64 } from "../src/protocol/json.js";
import { decodeChanges, encodeTransaction } from "../src/protocol/key-value-store.js";
import { decodeHeartbeat, encodeHeartbeatResponse } from "../src/protocol/worker.js";
import { RainridgeError } from "../src/transport/errors.js";

test("integers up to 2^64 - 1 are read, compared and written without loss", () => {
  const big = 18_446_744_073_709_551_615n;
  assert.equal(readUint64(parseJson(`{"n":${big}}`) as { n: unknown }, "n"), big);
  assert.equal(formatJson({ n: big, m: 7 }), `{"n":${big},"m":7}`);
  assert.equal(
    formatJson(encodeTransaction(new Map([["k", big]]), [])),
    `{"if":[{"k":"k","stamp":${big}}],"writes":[]}`,
  );
  const { changes, revision } = decodeChanges(
    parseJson(`{"epoch":${big},"log":[{"remove":"a","stamp":9007199254740993}]}`),
  );
  assert.equal(revision, big);
  assert.equal(changes[0]?.version, 9_007_199_254_740_993n);
  assert.ok(revision > (changes[0]?.version ?? 0) && (changes[0]?.version ?? 0) > 5);
  const heartbeat = decodeHeartbeat(
    parseJson(
      `{"host":"n-1","addr":"10.0.0.1:1","flavor":"a","area":"b","tenure":1,"tick":${big},"baton":0,"shards":[]}`,
    ),
  );
  assert.equal(heartbeat.sequence, big);
  assert.equal(formatJson(encodeHeartbeatResponse(big, [])), `{"baton":${big},"orders":[]}`);
});

test("readUint64 throws for values that are not integers from 0 to 2^64 - 1", () => {
  for (const text of ['{"n":18446744073709551616}', '{"n":-1}', '{"n":1.5}', '{"n":"1"}', "{}"]) {
    assert.throws(() => readUint64(parseJson(text) as { n: unknown }, "n"), MalformedMessageError, text);
  }
});

test("the error for a malformed message has its own code and names the field", () => {
  assert.throws(
    () => readUint64({}, "n"),
    (error) =>
      error instanceof RainridgeError && error.code === "MESSAGE_MALFORMED" && error.message === "n: not a count",
  );
});
