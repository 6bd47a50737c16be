/** Admission of submissions under load: back-pressure, and retry slots for those that are turned away. */
import { backpressureKey, shardOf } from "../../storage/keys.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Services } from "../context.js";
import { retryLater } from "./responses.js";

/** Beyond this wait for the write budget a submission is better told to come back. */
const MAX_USER_WRITE_DELAY = ms(1_500);
/** Users give up after a minute in all, so no submission is deferred for long. */
const MAX_RETRY_AFTER = seconds(10);
const OVERLOAD_RETRY_AFTER_S = 5;
const PRESSURE_ADMISSION_INTERVAL = seconds(5);
const MAX_TRACKED_CLASSES = 64;

/** Decides whether a submission can be taken now. */
export class Admission {
  /** By class, when a job of it was last admitted under back-pressure. */
  private readonly admittedUnderPressure = new Map<string, Micros>();
  /** The time up to which retry slots have been assigned. */
  private lastRetrySlot = 0;

  constructor(
    private readonly services: Pick<Services, "cache" | "clock" | "settings" | "transactions" | "loadShedder">,
  ) {}

  /** Null: admitted; otherwise the response that says when to come back. */
  deferral(job: { readonly team: string; readonly jobClass: string }): HttpResponse | null {
    const { loadShedder, cache, transactions } = this.services;
    const full = loadShedder.atLeast("saturated") || cache.entries.has(backpressureKey(shardOf(job.team)));
    if (full && !this.admitUnderPressure(job.jobClass)) return retryLater("overloaded", OVERLOAD_RETRY_AFTER_S);
    return transactions.userWriteDelay > MAX_USER_WRITE_DELAY ? this.assignRetrySlot() : null;
  }

  /**
   * When to come back: slots follow each other as fast as writes are possible, so that those turned away do not all come
   * back every second, to be turned away again.
   */
  private assignRetrySlot(): HttpResponse {
    const { clock, settings, transactions } = this.services;
    const now = clock.now();
    // The rate once this wave is over, not the one that it has been cut to: with that, those turned away in the first
    // seconds were told to come back so late that a third of the writes went unused meanwhile.
    const slotsPerSecond = Math.max(1, transactions.fullWritesPerSecond / settings.controllers);
    this.lastRetrySlot = Math.max(now + seconds(1), this.lastRetrySlot + seconds(1) / slotsPerSecond);
    const wait = Math.min(this.lastRetrySlot - now, MAX_RETRY_AFTER);
    this.lastRetrySlot = now + wait;
    return retryLater("busy", Math.ceil(wait / seconds(1)));
  }

  /** Under back-pressure one job of each class is admitted every few seconds: else a class could get none at all. */
  private admitUnderPressure(jobClass: string): boolean {
    const now = this.services.clock.now();
    // Beyond the limit of tracked classes, new ones share one turn.
    const tracked = this.admittedUnderPressure.has(jobClass) || this.admittedUnderPressure.size < MAX_TRACKED_CLASSES;
    const key = tracked ? jobClass : "";
    const lastAdmission = this.admittedUnderPressure.get(key);
    if (lastAdmission !== undefined && now - lastAdmission < PRESSURE_ADMISSION_INTERVAL) return false;
    this.admittedUnderPressure.set(key, now);
    return true;
  }
}
