/** Admission control for job submissions: back-pressure under load, and retry times for deferred submissions. */
import { backpressureKey, shardOf } from "../../storage/keys.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { retryLater } from "./responses.js";

/** A submission whose write would wait longer than this for the write budget is deferred instead. */
const MAX_USER_WRITE_DELAY = ms(1_500);
/** Upper bound for `Retry-After`: clients give up after one minute in total. */
const MAX_RETRY_AFTER = seconds(10);
const OVERLOAD_RETRY_AFTER_S = 5;
const PRESSURE_ADMISSION_INTERVAL = seconds(5);
const MAX_TRACKED_CLASSES = 64;

/** Decides whether a submission is processed now or deferred with a retry time. */
export class Admission {
  /** By job class: the time of the last admission under back-pressure. */
  private readonly admittedUnderPressure = new Map<string, Micros>();
  /** The time of the latest retry slot assigned so far, in microseconds. */
  private lastRetrySlot = 0;

  constructor(
    private readonly services: Pick<Services, "cache" | "clock" | "settings" | "transactions" | "loadShedder">,
  ) {}

  /** Null: the job is admitted; otherwise the 503 response with the time after which to retry. */
  deferral(job: { readonly team: string; readonly jobClass: string }): HttpResponse | null {
    const { loadShedder, cache, transactions } = this.services;
    const overloaded = loadShedder.atLeast("saturated") || cache.entries.has(backpressureKey(shardOf(job.team)));
    if (overloaded && !this.admitUnderPressure(job.jobClass)) return retryLater("overloaded", OVERLOAD_RETRY_AFTER_S);
    return transactions.userWriteDelay > MAX_USER_WRITE_DELAY ? this.assignRetrySlot() : null;
  }

  /**
   * Assigns retry times at the rate at which writes can be sent. With one fixed delay, all deferred submissions would
   * return every second and be deferred again.
   */
  private assignRetrySlot(): HttpResponse {
    const { clock, settings, transactions } = this.services;
    const now = clock.now();
    // Uses the configured write rate, not the rate as reduced by the current burst: with the reduced rate, submissions
    // deferred in the first seconds got retry times so late that a third of the write budget went unused.
    const slotsPerSecond = Math.max(1, transactions.fullWritesPerSecond / settings.controllers);
    this.lastRetrySlot = Math.max(now + seconds(1), this.lastRetrySlot + seconds(1) / slotsPerSecond);
    const wait = Math.min(this.lastRetrySlot - now, MAX_RETRY_AFTER);
    this.lastRetrySlot = now + wait;
    return retryLater("busy", Math.ceil(wait / seconds(1)));
  }

  /** Under back-pressure, one job of each class is admitted per interval, so that no class is starved. */
  private admitUnderPressure(jobClass: string): boolean {
    const now = this.services.clock.now();
    // All classes beyond the limit of tracked classes share one admission interval.
    const tracked = this.admittedUnderPressure.has(jobClass) || this.admittedUnderPressure.size < MAX_TRACKED_CLASSES;
    const key = tracked ? jobClass : "";
    const lastAdmission = this.admittedUnderPressure.get(key);
    if (lastAdmission !== undefined && now - lastAdmission < PRESSURE_ADMISSION_INTERVAL) return false;
    this.admittedUnderPressure.set(key, now);
    return true;
  }
}
