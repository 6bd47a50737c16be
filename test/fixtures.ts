/** Settings and machine types for tests. */
import { decodeMachineTypes, type MachineType } from "../src/protocol/cloud.js";

/** A machine type of 16 CPUs, offered in these zones. */
export const bigType = (areas: readonly string[]): MachineType =>
  decodeMachineTypes({
    flavors: [
      {
        sku: "big",
        cpus: 16,
        ramGb: 64,
        localGb: 60,
        pullGbPerS: 1,
        price: 1,
        spotPrice: 0.4,
        bootS: 15,
        areas,
      },
    ],
  })[0] as MachineType;

/** Text of a settings file for the controller with this index, of three. */
export const settingsText = (index = 0): string => {
  const siblings = [0, 1, 2]
    .filter((other) => other !== index)
    .map((other) => `[[siblings]]\nlabel = "ctl-${other}"\narea = "east"\nendpoint = "10.0.0.${other + 1}:8081"\n`);
  return `
label = "ctl-${index}"
area = "east"
client_listen = "10.0.0.${index + 1}:8080"
mesh_addr = "10.0.0.${index + 1}:8081"

${siblings.join("\n")}
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[deployment]
count = 3
zones = ["east", "west"]
clock_error_ms = 5.0

[[deployment.teams]]
name = "open"
cpus = 0.0
cpus_max = 0.0

[[deployment.teams]]
name = "capped"
cpus = 8.0
cpus_max = 16.0

[[deployment.objectives]]
kind = "wait"
class = "web"
within_s = 1.0
share = 0.9

[deployment.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 45.0

[deployment.state]
rps = 150.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12

[deployment.cloud]
rps = 5.0
list_lag_s = 4.0

[deployment.quota]
cpu_share = 0.4
mem_mb = 256.0
max_connections = 500
`;
};
