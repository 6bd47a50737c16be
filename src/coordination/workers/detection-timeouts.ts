/** Times and shares on which the failure detector and the removal of unreachable machines agree. */

import { type Micros, seconds } from "../../transport/clock.js";

/** A probe that has no answer within this time stays without one. */
export const PROBE_TIMEOUT = seconds(1.7);
/** Machines that are heard and not reached are asked so often whether they are again. */
export const UNREACHABLE_PROBE_INTERVAL = seconds(4);
/** More of all machines than this share, and the fault is on the controller's side. */
export const OWN_FAULT_SHARE = 0.6;
/** Heartbeats come a quarter later at most. */
const MAX_HEARTBEAT_JITTER = 1.25;
/** Workers give up a heartbeat after so long. */
const WORKER_HEARTBEAT_TIMEOUT = seconds(4);
/** And then send it to the next controller within this time. */
const WORKER_FAILOVER_TIME = seconds(3);

/** By when a worker that cannot reach this controller has reached another one, in microseconds from its last heartbeat. */
export const workerFailoverTime = (heartbeatInterval: Micros): number =>
  heartbeatInterval * MAX_HEARTBEAT_JITTER + WORKER_HEARTBEAT_TIMEOUT + WORKER_FAILOVER_TIME;

/** Are so many of the machines affected that the controller's own network is the likelier fault? */
export const isOwnFault = (affected: number, machines: number): boolean =>
  affected > Math.max(2, machines * OWN_FAULT_SHARE);
