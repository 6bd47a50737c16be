/** Timeouts and thresholds shared by the failure detector and the removal of unreachable machines. */

import { type Micros, seconds } from "../../transport/clock.js";

/** A probe without a reply within this time counts as failed. */
export const PROBE_TIMEOUT = seconds(1.7);
/** Interval between probes of a machine that sends heartbeats but is unreachable. */
export const UNREACHABLE_PROBE_INTERVAL = seconds(4);
/** If more than this share of all machines is affected, the fault is assumed to be on the controller's side. */
export const CONTROLLER_FAULT_SHARE = 0.6;
/** Upper bound on the time between heartbeats, as a multiple of the heartbeat interval. */
const MAX_HEARTBEAT_JITTER = 1.25;
/** Time after which a worker abandons a heartbeat without a response. */
const WORKER_HEARTBEAT_TIMEOUT = seconds(4);
/** Time within which a worker then delivers the heartbeat to another controller. */
const WORKER_FAILOVER_TIME = seconds(3);

/** Maximum time in microseconds from a worker's last heartbeat to this controller until it reaches another one. */
export const workerFailoverTime = (heartbeatInterval: Micros): number =>
  heartbeatInterval * MAX_HEARTBEAT_JITTER + WORKER_HEARTBEAT_TIMEOUT + WORKER_FAILOVER_TIME;

/** Whether so many of the machines are affected that the controller's own network is the likelier cause. */
export const isLikelyControllerFault = (affected: number, machines: number): boolean =>
  affected > Math.max(2, machines * CONTROLLER_FAULT_SHARE);
