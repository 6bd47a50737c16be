import { writeFileSync } from "node:fs";

const require_write = (t: string): void => writeFileSync("/tmp/w/load.log", t);

import { Random } from "./random.js";
import { Cluster, plainJob } from "./sim/cluster.js";
import { S } from "./sim/world.js";

const grown = (text: string): string =>
  text
    .replace("report_s = 3.0", "report_s = 6.0")
    .replace("lease_s = 20.0", "lease_s = 36.0")
    .replace("cancel_s = 45.0", "cancel_s = 66.0")
    .replace("write_rps = 40.0", "write_rps = 30.0")
    .replace("txn_ops = 12", "txn_ops = 24")
    .replace("max_connections = 500", "max_connections = 3500");

const main = async (): Promise<void> => {
  const cluster = new Cluster(1, {}, grown);
  const random = new Random(5);
  cluster.cloud.spotRoom = 700;
  cluster.cloud.ordinaryRoom = 700;
  let n = 0;
  const array = (): void =>
    cluster.submit(
      plainJob(`wk-${String(++n).padStart(6, "0")}`, {
        shards: random.int(20, 180),
        cpus: 4,
        loaner: true,
        jobclass: "batch",
        bundle: random.pick(["a", "b", "c", "d"]),
        sizeGb: 0.6,
      }),
      { runUs: random.int(20, 70) * S },
    );
  const service = (): void =>
    cluster.submit(
      plainJob(`wk-${String(++n).padStart(6, "0")}`, {
        shards: random.pick([2, 8, 9, 12]),
        cpus: 1,
        shape: "daemon",
        rank: "prod",
        jobclass: "web",
        spread: true,
        bundle: `s${random.int(0, 15)}`,
        sizeGb: 1.2,
      }),
    );
  for (let i = 0; i < 89; i += 1) cluster.world.at(2 * S + random.int(0, S), array);
  for (let i = 0; i < 289; i += 1) cluster.world.at(2 * S + random.int(0, S), service);
  const end = Number(process.argv[2] ?? 60);
  for (let t = 3 * S; t < end * S; t += S) {
    if (random.chance(0.86)) cluster.world.at(t, array);
    if (random.chance(0.38)) cluster.world.at(t + 1000, service);
  }
  setTimeout(() => 0, 0);
  const started = process.cpuUsage();
  for (let t = 10; t <= end; t += 10) {
    await cluster.run(10 * S);
    const used = process.cpuUsage(started);
    console.log(
      cluster.errors.slice(0, 2).join("\n").slice(0, 600),
      t,
      "cpu",
      (used.user / 1e6).toFixed(1),
      "machines",
      cluster.cloud.running().length,
      "starts",
      cluster.checker.starts,
      "errors",
      cluster.errors.length,
      "accepted",
      cluster.checker.accepted().length,
      "writes",
      cluster.state.counts,
    );
  }
  if (process.argv[3]) require_write(cluster.log.join("\n"));
};
void main();
