import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import {
  AGE_NEVER,
  createMeshFactory,
  encodeFrame,
  type FrameConnection,
  FrameDecoder,
  LogEvent,
  linkStatusOf,
  MAX_FRAME_BYTES,
  MalformedFrameError,
  type MeshFrame,
  type PeerHeartbeat,
  type PeerSnapshot,
  PhiAccrualDetector,
  selectRelayPeer,
  TcpFrameTransport,
  type UpstreamLinks,
} from "../src/mesh/index.js";
import { HostClock, Simulation } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import { RainridgeError } from "../src/transport/errors.js";
import type { HttpOutcome, HttpResponse } from "../src/transport/http.js";
import { forSeeds, Random } from "./random.js";

const HEARTBEAT: MeshFrame = {
  type: "heartbeat",
  heartbeat: { sequence: 7, loadLevel: 1, storeAgeMs: 120, cloudAgeMs: AGE_NEVER, cutOffFromWorkers: true },
};

const FRAMES: readonly MeshFrame[] = [
  { type: "hello", label: "ctl-0", incarnation: "abc" },
  HEARTBEAT,
  {
    type: "relay-request",
    id: 9,
    address: "10.0.0.1:80",
    timeoutMs: 2_000,
    request: { method: "POST", target: "/txn", body: '{"ä":1}' },
  },
  { type: "relay-request", id: 10, address: "", timeoutMs: 1, request: { method: "POST", target: "/hello", body: "" } },
  { type: "relay-response", id: 9, outcome: { kind: "answer", status: 409, body: "{}", retryAfterS: null } },
  { type: "relay-response", id: 9, outcome: { kind: "answer", status: 503, body: "", retryAfterS: 3 } },
  { type: "relay-response", id: 10, outcome: { kind: "lost" } },
  { type: "relay-response", id: 11, outcome: { kind: "unsent" } },
];

test("the encoding of version 1 frames stays the same byte for byte", () => {
  // Golden bytes: controllers of other versions must be able to decode them.
  assert.equal(encodeFrame(FRAMES[0] as MeshFrame).toString("hex"), "0000001201010000000563746c2d3000000003616263");
  assert.equal(encodeFrame(HEARTBEAT).toString("hex"), "0000001001020000000701000000 78ffffffff01".replace(" ", ""));
  assert.equal(encodeFrame(FRAMES[7] as MeshFrame).toString("hex"), "0000000701040000000b00");
});

test("frames are decoded from parts of any size, and unknown types and added fields are skipped", () => {
  const unknown = Buffer.from("0000000501630a0b0c", "hex");
  // A heartbeat of a later version, with additional bytes after the fields of this version.
  const longer = Buffer.concat([encodeFrame(HEARTBEAT), Buffer.from("beef", "hex")]);
  longer.writeUInt32BE(longer.length - 4);
  longer.writeUInt8(2, 4);
  const all = Buffer.concat([...FRAMES.map(encodeFrame), unknown, longer, encodeFrame(FRAMES[0] as MeshFrame)]);
  forSeeds(50, (random) => {
    const reader = new FrameDecoder();
    const got: MeshFrame[] = [];
    for (let at = 0; at < all.length; ) {
      const step = random.int(1, 40);
      got.push(...reader.decode(all.subarray(at, at + step)));
      at += step;
    }
    assert.deepEqual(got, [...FRAMES, HEARTBEAT, FRAMES[0]]);
  });
});

test("decoding invalid bytes throws MalformedFrameError and no other error", () => {
  assert.throws(() => new FrameDecoder().decode(Buffer.from("ffffffff0101", "hex")), MalformedFrameError);
  assert.throws(() => new FrameDecoder().decode(Buffer.from("GET / HTTP/1.1\r\n\r\n")), MalformedFrameError);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.throws(() => new FrameDecoder().decode(head), MalformedFrameError);
  let errors = 0;
  forSeeds(400, (random) => {
    const data = Buffer.concat(FRAMES.map(encodeFrame));
    for (let flips = random.int(1, 6); flips > 0; flips -= 1) data[random.int(0, data.length - 1)] = random.int(0, 255);
    try {
      const reader = new FrameDecoder();
      for (let at = 0; at < data.length; at += 13) reader.decode(data.subarray(at, at + 13));
    } catch (error) {
      assert.ok(error instanceof MalformedFrameError, String(error));
      errors += 1;
    }
  });
  assert.ok(errors > 50, `${errors} of 400 corrupted inputs rejected, expected more than 50`);
});

test("the accrual detector suspects a peer with regular heartbeats sooner, without false alarms", () => {
  const random = new Random(3);
  const PERIOD = 400_000;
  const regular = new PhiAccrualDetector(PERIOD);
  const irregular = new PhiAccrualDetector(PERIOD);
  let now = 0;
  let irregularNow = 0;
  let falseAlarms = 0;
  for (let count = 0; count < 20_000; count += 1) {
    now += PERIOD + random.int(0, 20_000);
    if (count > 10 && regular.phi(now) > 3) falseAlarms += 1;
    regular.recordHeartbeat(now);
    irregularNow += random.int(50_000, 900_000);
    irregular.recordHeartbeat(irregularNow);
  }
  assert.equal(falseAlarms, 0);
  const detectionTime = (detector: PhiAccrualDetector, last: number): number => {
    let silence = 0;
    while (detector.phi(last + silence) < 3) silence += 10_000;
    return silence;
  };
  assert.ok(detectionTime(regular, now) < 3 * PERIOD, `${detectionTime(regular, now)} us`);
  assert.ok(detectionTime(irregular, irregularNow) > detectionTime(regular, now));
  assert.ok(detectionTime(irregular, irregularNow) < 10 * PERIOD);
  assert.equal(new PhiAccrualDetector(PERIOD).phi(0), Number.POSITIVE_INFINITY, "no heartbeat yet");
});

const peerSnapshot = (
  label: string,
  fields: Partial<PeerSnapshot> = {},
  heartbeat: Partial<PeerHeartbeat> = {},
): PeerSnapshot => ({
  label,
  usable: true,
  phi: 0.1,
  heartbeat: { sequence: 1, loadLevel: 0, storeAgeMs: 100, cloudAgeMs: 100, cutOffFromWorkers: false, ...heartbeat },
  ...fields,
});
const allUp: UpstreamLinks = { failing: { store: false, cloud: false }, cutOffFromWorkers: false };
const storeDown: UpstreamLinks = { failing: { store: true, cloud: false }, cutOffFromWorkers: false };

test("a call is relayed only if the direct link fails, and through a peer whose own link works", () => {
  assert.equal(selectRelayPeer("store", allUp, [peerSnapshot("a")]), null);
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a")]), "a");
  assert.equal(selectRelayPeer("cloud", storeDown, [peerSnapshot("a")]), null);
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", { usable: false }), peerSnapshot("b")]), "b");
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", {}, { storeAgeMs: AGE_NEVER })]), null);
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", { heartbeat: null })]), null);
  // The peer with the lower load level is preferred, then the one with the lower phi; a saturated peer relays nothing.
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", {}, { loadLevel: 1 }), peerSnapshot("b")]), "b");
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", { phi: 1 }), peerSnapshot("b")]), "b");
  assert.equal(selectRelayPeer("store", storeDown, [peerSnapshot("a", {}, { loadLevel: 3 })]), null);
  const cutOff: UpstreamLinks = { ...allUp, cutOffFromWorkers: true };
  assert.equal(
    selectRelayPeer("worker", cutOff, [peerSnapshot("a", {}, { cutOffFromWorkers: true }), peerSnapshot("b")]),
    "b",
  );
  // A worker whose heartbeats are relayed by a peer is called through that peer and no other.
  assert.equal(selectRelayPeer("worker", allUp, [peerSnapshot("a"), peerSnapshot("b")], "b"), "b");
  assert.equal(selectRelayPeer("worker", allUp, [peerSnapshot("a"), peerSnapshot("b", { usable: false })], "b"), null);
});

test("peers' heartbeats distinguish an outage of a service from a failure of this controller's link", () => {
  const statusOf = (links: UpstreamLinks, refused: boolean, peers: PeerSnapshot[]): string =>
    linkStatusOf("store", links, { answered: true, refused }, peers);
  assert.equal(statusOf(allUp, false, []), "reached");
  assert.equal(statusOf(storeDown, false, [peerSnapshot("a")]), "away for me only");
  assert.equal(statusOf(storeDown, true, [peerSnapshot("a")]), "refused to me");
  assert.equal(statusOf(storeDown, true, [peerSnapshot("a", {}, { storeAgeMs: AGE_NEVER })]), "away for everybody");
  assert.equal(linkStatusOf("cloud", allUp, { answered: false, refused: false }, []), "not asked yet");
});

test("a large frame is received completely over TCP, and a close is reported to the other side", async () => {
  const log = { error: (event: string) => assert.fail(event), info: () => undefined, debug: () => undefined };
  // Finds a free port; no other test listens on it.
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  const address = `127.0.0.1:${port}`;
  const receiver = new TcpFrameTransport(address, log);
  const received = new Promise<MeshFrame[]>((resolve, reject) => {
    receiver.listen((connection) => {
      const decoder = new FrameDecoder();
      connection.onData = (data) => {
        try {
          const frames = decoder.decode(data);
          if (frames.length === 0) return;
          resolve(frames);
          connection.close();
        } catch (error) {
          reject(error);
        }
      };
    });
  });
  const body = "x".repeat(300_000);
  const sent: MeshFrame = {
    type: "relay-request",
    id: 1,
    address: "",
    timeoutMs: 5,
    request: { method: "POST", target: "/txn", body },
  };
  const sender = new TcpFrameTransport("127.0.0.1:1", log).connect(address);
  const closed = new Promise<void>((resolve) => {
    sender.onClosed = resolve;
  });
  sender.write(encodeFrame(sent));
  assert.deepEqual(await received, [sent]);
  await closed;
  receiver.close();
});

/** A mesh with one peer, simulated by the test. `peerResponds`: the peer sends a hello and periodic heartbeats. */
const meshWithOnePeer = (
  peerResponds: boolean,
  handleHeartbeat: () => Promise<HttpResponse> = async () => ({ status: 503, body: "" }),
) => {
  const world = new Simulation();
  const clock = new HostClock(world, 1, 0);
  const connections: { at: number; connection: FrameConnection; closed: () => boolean; sent: MeshFrame[] }[] = [];
  const called: string[] = [];
  const logged: string[] = [];
  let outcome: HttpOutcome = { kind: "unsent" };
  const mesh = createMeshFactory({
    clock,
    log: { error: (event) => logged.push(event), info: (event) => logged.push(event), debug: () => undefined },
    random: () => 0.5,
    incarnation: "i",
    http: {
      call: async (address) => {
        called.push(address);
        return outcome;
      },
    },
    transport: {
      listen: () => undefined,
      connect: () => {
        const decoder = new FrameDecoder();
        const sent: MeshFrame[] = [];
        let closed = false;
        const connection: FrameConnection = {
          write: (data) => {
            sent.push(...decoder.decode(data));
            return true;
          },
          close: () => {
            closed = true;
          },
          onData: () => undefined,
          onDrain: () => undefined,
          onClosed: () => undefined,
        };
        connections.push({ at: world.now, connection, closed: () => closed, sent });
        return connection;
      },
    },
    settings: {
      label: "a",
      peers: [{ label: "b", address: "b:1" }],
      storeAddress: "state:1",
      cloudAddress: "cloud:1",
      workers: { heartbeatInterval: 3_000_000 as Micros },
    },
  })({ loadLevel: () => 0, leadership: () => null, handleHeartbeat });
  mesh.start();
  const receive = (frame: MeshFrame): void => connections.at(-1)?.connection.onData(encodeFrame(frame));
  let sequence = 0;
  const sendHeartbeat = (): void => {
    sequence += 1;
    receive({
      type: "heartbeat",
      heartbeat: { sequence, loadLevel: 0, storeAgeMs: 50, cloudAgeMs: 50, cutOffFromWorkers: false },
    });
    world.after(400_000, sendHeartbeat);
  };
  if (peerResponds) {
    receive({ type: "hello", label: "b", incarnation: "j" });
    sendHeartbeat();
  }
  const relayRequests = (): Extract<MeshFrame, { type: "relay-request" }>[] =>
    (connections.at(-1)?.sent ?? []).flatMap((frame) => (frame.type === "relay-request" ? [frame] : []));
  const advance = (seconds: number): Promise<void> => world.run(world.now + seconds * 1_000_000, () => undefined);
  return {
    mesh,
    connections,
    called,
    logged,
    receive,
    relayRequests,
    advance,
    setOutcome: (next: HttpOutcome) => (outcome = next),
  };
};

const GET = { method: "GET", target: "/kv/x", body: "" };

test("a connection without a hello is closed and reopened with increasing delays", async () => {
  const { connections, advance } = meshWithOnePeer(false);
  await advance(30);
  assert.ok(
    connections.length >= 4 && connections.length <= 8,
    `${connections.length} connections in 30 s, expected 4 to 8`,
  );
});

test("a call is relayed unchanged while the direct link fails, and returns to the direct link once it works", async () => {
  const { mesh, called, receive, relayRequests, advance, setOutcome } = meshWithOnePeer(true);
  await advance(2);
  const call = (): Promise<HttpOutcome> => mesh.client.call("state:1", GET, 2_000_000 as Micros);
  assert.deepEqual(await call(), { kind: "unsent" });
  const second = call();
  await advance(0.1);
  const [relayed] = relayRequests();
  assert.deepEqual([relayed?.address, relayed?.request], ["state:1", GET]);
  receive({
    type: "relay-response",
    id: relayed?.id ?? 0,
    outcome: { kind: "answer", status: 404, body: "{}", retryAfterS: null },
  });
  assert.deepEqual(await second, { kind: "answer", status: 404, body: "{}", retryAfterS: null });
  // A duplicate response and a response to an unknown request have no effect.
  receive({ type: "relay-response", id: relayed?.id ?? 0, outcome: { kind: "lost" } });
  receive({ type: "relay-response", id: 999, outcome: { kind: "lost" } });
  // A call without a response ends as `lost`, since it may have been executed.
  const third = call();
  await advance(3);
  assert.deepEqual(await third, { kind: "lost" });
  setOutcome({ kind: "answer", status: 200, body: "{}", retryAfterS: null });
  await advance(2);
  const before = relayRequests().length;
  const calls = called.length;
  assert.equal((await call()).kind, "answer");
  assert.equal(relayRequests().length, before, "the call uses the direct link again");
  assert.equal(called.length, calls + 1);
});

test("a relayed call that is pending when the connection closes ends as lost", async () => {
  const { mesh, connections, advance } = meshWithOnePeer(true);
  await advance(2);
  const call = (): Promise<HttpOutcome> => mesh.client.call("state:1", GET, 2_000_000 as Micros);
  await call();
  const pending = call();
  await advance(0.1);
  connections.at(-1)?.connection.onClosed();
  assert.deepEqual(await pending, { kind: "lost" });
});

// Guards against a start for one worker that reaches another one, whose heartbeat the peer relays after its restart
// under the same request id.
test("the response to a relayed heartbeat is dropped once the connection that it came on has ended", async () => {
  const responses: ((response: HttpResponse) => void)[] = [];
  const { connections, receive, advance } = meshWithOnePeer(true, () => new Promise((done) => responses.push(done)));
  await advance(1);
  const request = { method: "POST", target: "/hello", body: "{}" };
  const relayHeartbeat = (): void => receive({ type: "relay-request", id: 1, address: "", timeoutMs: 2_500, request });
  const relayResponses = (): MeshFrame[] =>
    connections.flatMap(({ sent }) => sent.filter(({ type }) => type === "relay-response"));
  relayHeartbeat();
  connections.at(-1)?.connection.onClosed();
  await advance(10);
  assert.ok(connections.length >= 2, "the connection is opened again");
  receive({ type: "hello", label: "b", incarnation: "k" });
  relayHeartbeat();
  responses[0]?.({ status: 200, body: '{"baton":65536,"orders":[{"verb":"launch","shard":"wk-1/0","try":1}]}' });
  await advance(0.1);
  assert.deepEqual(relayResponses(), [], "the start of the earlier process's worker");
  responses[1]?.({ status: 200, body: '{"baton":65537,"orders":[]}' });
  await advance(0.1);
  assert.equal(relayResponses().length, 1, "the response to the heartbeat of this connection");
});

test("a connection is closed and reopened after a hello from another controller or invalid bytes", async () => {
  const otherHello = encodeFrame({ type: "hello", label: "c", incarnation: "k" });
  for (const bytes of [otherHello, Buffer.from("GET / HTTP/1.1\r\n\r\n")]) {
    const { connections, logged, advance } = meshWithOnePeer(false);
    connections[0]?.connection.onData(bytes);
    assert.deepEqual(logged, [LogEvent.FrameMalformed]);
    assert.equal(connections[0]?.closed(), true);
    await advance(0.3);
    assert.equal(connections.length, 2, "the connection is reopened");
  }
});

test("a stopped mesh closes its connection, opens none, sends nothing and fails pending calls", async () => {
  const { mesh, connections, logged, relayRequests, advance } = meshWithOnePeer(true);
  await advance(2);
  const call = (): Promise<HttpOutcome> => mesh.client.call("state:1", GET, 2_000_000 as Micros);
  await call();
  const pending = call();
  await advance(0.1);
  assert.equal(relayRequests().length, 1);
  mesh.stop();
  assert.deepEqual(await pending, { kind: "lost" });
  const sent = connections[0]?.sent.length;
  assert.equal(connections[0]?.closed(), true);
  await advance(30);
  assert.equal(connections.length, 1);
  assert.equal(connections[0]?.sent.length, sent);
  assert.deepEqual(logged, [LogEvent.PeerConnected, LogEvent.LinksChanged, LogEvent.PeerDisconnected]);
});

test("mesh errors have a code", () => {
  const error = new MalformedFrameError("length 1");
  assert.ok(error instanceof RainridgeError);
  assert.equal(error.code, "MALFORMED_FRAME");
});
