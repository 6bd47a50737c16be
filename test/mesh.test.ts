import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import {
  AGE_NEVER,
  createMeshFactory,
  encodeFrame,
  type FrameConnection,
  FrameDecoder,
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
import { HostClock, World } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import type { HttpOutcome } from "../src/transport/http.js";
import { forSeeds, Random } from "./random.js";

const BEAT: MeshFrame = {
  type: "heartbeat",
  heartbeat: { sequence: 7, loadLevel: 1, storeAgeMs: 120, cloudAgeMs: AGE_NEVER, cutOffFromWorkers: true },
};

const FRAMES: readonly MeshFrame[] = [
  { type: "hello", label: "ctl-0", incarnation: "abc" },
  BEAT,
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

test("frames of version 1 are written as they always were", () => {
  // Golden: a controller of another version reads these bytes.
  assert.equal(encodeFrame(FRAMES[0] as MeshFrame).toString("hex"), "0000001201010000000563746c2d3000000003616263");
  assert.equal(encodeFrame(BEAT).toString("hex"), "0000001001020000000701000000 78ffffffff01".replace(" ", ""));
  assert.equal(encodeFrame(FRAMES[7] as MeshFrame).toString("hex"), "0000000701040000000b00");
});

test("frames survive any cutting into parts, and unknown types and added fields are skipped", () => {
  const unknown = Buffer.from("0000000501630a0b0c", "hex");
  // A later version's beat, with something behind what is known here.
  const longer = Buffer.concat([encodeFrame(BEAT), Buffer.from("beef", "hex")]);
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
    assert.deepEqual(got, [...FRAMES, BEAT, FRAMES[0]]);
  });
});

test("whatever comes instead of frames ends in one kind of error and nothing else", () => {
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
  assert.ok(errors > 50, `${errors} of 400`);
});

test("a silence is suspected sooner the more regular the beats were, and hardly ever wrongly", () => {
  const random = new Random(3);
  const PERIOD = 400_000;
  const steady = new PhiAccrualDetector(PERIOD);
  const shaky = new PhiAccrualDetector(PERIOD);
  let now = 0;
  let at = 0;
  let wrong = 0;
  for (let beat = 0; beat < 20_000; beat += 1) {
    now += PERIOD + random.int(0, 20_000);
    if (beat > 10 && steady.phi(now) > 3) wrong += 1;
    steady.recordHeartbeat(now);
    at += random.int(50_000, 900_000);
    shaky.recordHeartbeat(at);
  }
  assert.equal(wrong, 0);
  const noticed = (detector: PhiAccrualDetector, last: number): number => {
    let silence = 0;
    while (detector.phi(last + silence) < 3) silence += 10_000;
    return silence;
  };
  assert.ok(noticed(steady, now) < 3 * PERIOD, `${noticed(steady, now)} us`);
  assert.ok(noticed(shaky, at) > noticed(steady, now));
  assert.ok(noticed(shaky, at) < 10 * PERIOD);
  assert.equal(new PhiAccrualDetector(PERIOD).phi(0), Number.POSITIVE_INFINITY, "never heard");
});

const peer = (
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
const fine: UpstreamLinks = { failing: { store: false, cloud: false }, cutOffFromWorkers: false };
const noStore: UpstreamLinks = { failing: { store: true, cloud: false }, cutOffFromWorkers: false };

test("a call goes through a sibling only where the own way fails and that sibling's does not", () => {
  assert.equal(selectRelayPeer("store", fine, [peer("a")]), null);
  assert.equal(selectRelayPeer("store", noStore, [peer("a")]), "a");
  assert.equal(selectRelayPeer("cloud", noStore, [peer("a")]), null);
  assert.equal(selectRelayPeer("store", noStore, [peer("a", { usable: false }), peer("b")]), "b");
  assert.equal(selectRelayPeer("store", noStore, [peer("a", {}, { storeAgeMs: AGE_NEVER })]), null);
  assert.equal(selectRelayPeer("store", noStore, [peer("a", { heartbeat: null })]), null);
  // The one with less to do, then the one surer to be there; what is full is left alone.
  assert.equal(selectRelayPeer("store", noStore, [peer("a", {}, { loadLevel: 1 }), peer("b")]), "b");
  assert.equal(selectRelayPeer("store", noStore, [peer("a", { phi: 1 }), peer("b")]), "b");
  assert.equal(selectRelayPeer("store", noStore, [peer("a", {}, { loadLevel: 3 })]), null);
  const deaf: UpstreamLinks = { ...fine, cutOffFromWorkers: true };
  assert.equal(selectRelayPeer("worker", deaf, [peer("a", {}, { cutOffFromWorkers: true }), peer("b")]), "b");
  // A machine heard through a sibling is spoken to through it, whoever else is there.
  assert.equal(selectRelayPeer("worker", fine, [peer("a"), peer("b")], "b"), "b");
  assert.equal(selectRelayPeer("worker", fine, [peer("a"), peer("b", { usable: false })], "b"), null);
});

test("how a link stands is told apart by what siblings say", () => {
  const standing = (links: UpstreamLinks, refused: boolean, peers: PeerSnapshot[]): string =>
    linkStatusOf("store", links, { answered: true, refused }, peers);
  assert.equal(standing(fine, false, []), "reached");
  assert.equal(standing(noStore, false, [peer("a")]), "away for me only");
  assert.equal(standing(noStore, true, [peer("a")]), "refused to me");
  assert.equal(standing(noStore, true, [peer("a", {}, { storeAgeMs: AGE_NEVER })]), "away for everybody");
  assert.equal(linkStatusOf("cloud", fine, { answered: false, refused: false }, []), "not asked yet");
});

test("over real sockets a frame arrives whole, and an end is noticed on the other side", async () => {
  const log = { error: (event: string) => assert.fail(event), info: () => undefined, debug: () => undefined };
  // A port that is free just now; nothing else of the tests listens at this number.
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  const address = `127.0.0.1:${port}`;
  const there = new TcpFrameTransport(address, log);
  const got = new Promise<MeshFrame[]>((resolve, reject) => {
    there.listen((wire) => {
      const reader = new FrameDecoder();
      wire.onData = (data) => {
        try {
          const frames = reader.decode(data);
          if (frames.length === 0) return;
          resolve(frames);
          wire.close();
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
  const near = new TcpFrameTransport("127.0.0.1:1", log).connect(address);
  const ended = new Promise<void>((resolve) => {
    near.onClosed = resolve;
  });
  near.write(encodeFrame(sent));
  assert.deepEqual(await got, [sent]);
  await ended;
  there.close();
});

/** A mesh of one sibling, over connections that the test plays the other side of. */
const alone = (answers: boolean) => {
  const world = new World();
  const clock = new HostClock(world, 1, 0);
  const dialled: { at: number; wire: FrameConnection; sent: MeshFrame[] }[] = [];
  const called: string[] = [];
  let outcome: HttpOutcome = { kind: "unsent" };
  const mesh = createMeshFactory({
    clock,
    log: { error: () => undefined, info: () => undefined, debug: () => undefined },
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
        const reader = new FrameDecoder();
        const sent: MeshFrame[] = [];
        const wire: FrameConnection = {
          write: (data) => {
            sent.push(...reader.decode(data));
            return true;
          },
          close: () => undefined,
          onData: () => undefined,
          onDrain: () => undefined,
          onClosed: () => undefined,
        };
        dialled.push({ at: world.now, wire, sent });
        return wire;
      },
    },
    settings: {
      label: "a",
      peers: [{ label: "b", address: "b:1" }],
      storeAddress: "state:1",
      cloudAddress: "cloud:1",
      workers: { heartbeatInterval: 3_000_000 as Micros },
    },
  })({ loadLevel: () => 0, leadership: () => null, handleHeartbeat: async () => ({ status: 503, body: "" }) });
  mesh.start();
  const say = (frame: MeshFrame): void => dialled.at(-1)?.wire.onData(encodeFrame(frame));
  let sequence = 0;
  const beat = (): void => {
    sequence += 1;
    say({
      type: "heartbeat",
      heartbeat: { sequence, loadLevel: 0, storeAgeMs: 50, cloudAgeMs: 50, cutOffFromWorkers: false },
    });
    world.after(400_000, beat);
  };
  if (answers) {
    say({ type: "hello", label: "b", incarnation: "j" });
    beat();
  }
  const asks = (): Extract<MeshFrame, { type: "relay-request" }>[] =>
    (dialled.at(-1)?.sent ?? []).flatMap((frame) => (frame.type === "relay-request" ? [frame] : []));
  const pass = (s: number): Promise<void> => world.run(world.now + s * 1_000_000, () => undefined);
  return { mesh, dialled, called, say, asks, pass, set: (next: HttpOutcome) => (outcome = next) };
};

const GET = { method: "GET", target: "/kv/x", body: "" };

test("a connection over which nothing is said is given up and dialled again, later each time", async () => {
  const { dialled, pass } = alone(false);
  await pass(30);
  assert.ok(dialled.length >= 4 && dialled.length <= 8, `${dialled.length} in 30 s`);
});

test("what fails by the own way goes through the sibling as it is, and comes back to the own way once that answers", async () => {
  const { mesh, called, say, asks, pass, set } = alone(true);
  await pass(2);
  const call = (): Promise<HttpOutcome> => mesh.client.call("state:1", GET, 2_000_000 as Micros);
  assert.deepEqual(await call(), { kind: "unsent" });
  const second = call();
  await pass(0.1);
  const [ask] = asks();
  assert.deepEqual([ask?.address, ask?.request], ["state:1", GET]);
  say({
    type: "relay-response",
    id: ask?.id ?? 0,
    outcome: { kind: "answer", status: 404, body: "{}", retryAfterS: null },
  });
  assert.deepEqual(await second, { kind: "answer", status: 404, body: "{}", retryAfterS: null });
  // Told twice, or under an id that nobody asked under: nothing comes of it.
  say({ type: "relay-response", id: ask?.id ?? 0, outcome: { kind: "lost" } });
  say({ type: "relay-response", id: 999, outcome: { kind: "lost" } });
  // The sibling says nothing: it may have been executed.
  const third = call();
  await pass(3);
  assert.deepEqual(await third, { kind: "lost" });
  set({ kind: "answer", status: 200, body: "{}", retryAfterS: null });
  await pass(2);
  const before = asks().length;
  const calls = called.length;
  assert.equal((await call()).kind, "answer");
  assert.equal(asks().length, before, "by the own way again");
  assert.equal(called.length, calls + 1);
});

test("a call under way when the connection ends counts as lost, one that never left as not sent", async () => {
  const { mesh, dialled, pass } = alone(true);
  await pass(2);
  const call = (): Promise<HttpOutcome> => mesh.client.call("state:1", GET, 2_000_000 as Micros);
  await call();
  const under = call();
  await pass(0.1);
  dialled.at(-1)?.wire.onClosed();
  assert.deepEqual(await under, { kind: "lost" });
});
