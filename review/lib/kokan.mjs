// Settings like those of the small deployment "When swap stations run out" (BRIEF), and its machine types.
export const STATE = { rps: 150, writeRps: 60, valueKb: 8, txnOps: 12, latencyMs: 4 };
export const WORKERS = { reportS: 3, leaseS: 22, cancelS: 52 };
export const ZONES = ["kumamoto", "hakata"];
export const zoneOf = (node) => (node === 1 ? "hakata" : "kumamoto");

const areas = ZONES;
export const KOGATA = {
  sku: "kogata",
  cpus: 4,
  accelerators: 0,
  ramGb: 32,
  localGb: 40,
  pullGbPerS: 1,
  price: 0.17,
  spotPrice: 0.05,
  bootS: 35,
  areas: ["hakata"],
};
export const CHUUGATA = {
  sku: "chuugata",
  cpus: 16,
  accelerators: 0,
  ramGb: 32,
  localGb: 40,
  pullGbPerS: 0.4,
  price: 0.51,
  spotPrice: 0.14,
  bootS: 15,
  areas,
};

/** The part of the settings file from `count` on; `next`: lines of `[deployment.state.next]`, or "". */
export const deployment = (next = "") => `zones = ["kumamoto", "hakata"]
clock_error_ms = 1000.0

${Array.from({ length: 16 }, (_, at) => `[[deployment.teams]]\nname = "unyou-han-${at + 1}"\ncpus = 16.0\ncpus_max = 48.0\ngpus = 0.0\ngpus_max = 0.0\n`).join("\n")}
[[deployment.objectives]]
kind = "wait"
class = "juden-keikaku"
within_s = 30.0
share = 0.88

[[deployment.objectives]]
kind = "wait"
class = "station-appu"
within_s = 2.0
share = 0.82

[[deployment.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.93

[deployment.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 52.0

[deployment.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 12
${next}
[deployment.cloud]
rps = 10.0
list_lag_s = 4.0

[deployment.quota]
cpu_share = 0.34
mem_mb = 306.0
max_connections = 1800
`;

/** A job of `juden-keikaku`, with what differs. */
export const plan = (ref, other = {}) => ({
  ref,
  jobclass: "juden-keikaku",
  owner: "unyou-han-1",
  shape: "sweep",
  rank: "high",
  shards: 4,
  cpus: 4.0,
  accelerators: 0.0,
  ramGb: 4.3,
  bundle: "img-1",
  sizeGb: 0.2,
  flavors: null,
  area: null,
  together: false,
  spread: false,
  loaner: false,
  guessS: 10.0,
  saveEveryS: 0.0,
  saveTakesS: 0.0,
  dueS: null,
  ...other,
});
