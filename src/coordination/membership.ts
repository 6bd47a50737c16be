import {
  BLOCKS,
  type BlockRecord,
  blockKey,
  LEADER_KEY,
  memberKey,
  memberOfKey,
  NUMBER_KEY,
  readBlock,
  readMember,
  writeBlock,
  writeMember,
} from "../bookkeeping/records.js";
import type { Whole } from "../protocol/json.js";
import type { Entry, Write } from "../protocol/state.js";
import { blockLease } from "../settings/settings.js";
import { type Clock, type Micros, ms, seconds, sleep } from "../transport/clock.js";
import { describeError } from "../transport/log.js";
import type { BlockLease, Services } from "./context.js";
import { mayAct } from "./decisions/rights.js";

const RENEWALS = 12;
const RETRY = ms(100);
/** Time for the others to take over what was given up. */
const STAND_BACK = seconds(8);
const LOAD_POLL = ms(10);
/** Steady clocks drift by half a thousandth at most; the rest is for slow timers. */
const MARGIN = seconds(0.5);

interface Grant {
  readonly lease: Whole;
  /** When the request was sent that last renewed it. */
  renewed: Micros;
}

export interface MembershipEvents {
  taken(lease: BlockLease): void;
  dropped(block: number): void;
}

/**
 * This controller's grant, the election of a leader and the leasing of blocks. The leader leases each block to
 * a member, attached to that member's own grant: losing the leader takes nobody's block away.
 */
export class Membership {
  private grant: Grant | null = null;
  private readonly held = new Map<number, BlockLease>();
  private readonly ttl: Micros;
  private joinAfter: Micros = 0 as Micros;
  private acting = false;
  private actAgain = false;

  constructor(
    private readonly services: Services,
    private readonly incarnation: string,
    private readonly events: MembershipEvents,
  ) {
    this.ttl = blockLease(services.settings);
    services.view.onChange(() => this.consider());
  }

  private get clock(): Clock {
    return this.services.clock;
  }

  /** Whose block it is, as far as known; for sending workers there. */
  holder(block: number): string | null {
    const entry = this.services.view.entries.get(blockKey(block));
    return entry === undefined ? null : readBlock(entry.value).label;
  }

  async run(): Promise<never> {
    const { log } = this.services;
    for (;;) {
      try {
        if (this.grant === null && this.clock.now() < this.joinAfter) await sleep(this.clock, RETRY);
        else if (this.grant === null) await this.join();
        else await this.renew(this.grant);
        this.consider();
      } catch (error) {
        log.error("membership step failed", { error: describeError(error) });
      }
      await sleep(this.clock, this.grant === null ? RETRY : (Math.floor(this.ttl / RENEWALS) as Micros));
    }
  }

  private async join(): Promise<void> {
    const { store, view, settings, log } = this.services;
    while (!view.loaded) await sleep(this.clock, LOAD_POLL);
    const key = memberKey(settings.label);
    const old = await store.get(key);
    if (old.kind !== "ok" && old.kind !== "missing") return;
    if (old.kind === "ok") {
      // Ours, from before a restart: there is one process a label. Ended at once, its blocks come back in
      // seconds; a request of it that is still under way fails on the block's version.
      const ended = await store.end(readMember(old.value.value).lease);
      if (ended.kind !== "ok" && ended.kind !== "missing") return;
    }
    const sent = this.clock.now();
    const lease = await store.grant(this.ttl);
    if (lease.kind !== "ok") return;
    const value = writeMember({ lease: lease.value, incarnation: this.incarnation });
    const written = await store.commit(new Map([[key, 0]]), [{ kind: "put", key, value, lease: lease.value }]);
    if (written.kind !== "ok") return;
    this.grant = { lease: lease.value, renewed: sent };
    log.info("joined", { label: settings.label, leaseMs: this.ttl / 1_000 });
    await view.sync();
  }

  private async renew(grant: Grant): Promise<void> {
    const sent = this.clock.now();
    const reply = await this.services.store.touch(grant.lease);
    if (reply.kind === "ok") grant.renewed = sent;
    if (reply.kind !== "missing") return;
    this.services.log.info("grant lost");
    this.resign();
  }

  /** For a holder that can do nothing with what it holds: lets the others have it before joining again. */
  async handOver(): Promise<void> {
    const { grant } = this;
    if (grant === null) return;
    this.resign();
    this.joinAfter = (this.clock.now() + STAND_BACK) as Micros;
    await this.services.store.end(grant.lease);
  }

  /** Gives everything up; joining again ends the old grant, so what was held comes back under fresh numbers. */
  resign(): void {
    this.grant = null;
    for (const block of [...this.held.keys()]) this.drop(block);
  }

  /** The difference between the blocks on record and the ones acted for. */
  private consider(): void {
    const { view, settings } = this.services;
    const member = view.entries.get(memberKey(settings.label));
    // A join without an answer, carried out late, puts a member on record under a grant that nobody renews: what is
    // leased to that one ends with that grant, while the right would be counted from another's renewals.
    const renewed = member !== undefined && readMember(member.value).lease === this.grant?.lease;
    for (let block = 0; block < BLOCKS; block += 1) {
      const entry = view.entries.get(blockKey(block));
      const record = entry === undefined ? null : readBlock(entry.value);
      const mine = record !== null && record.incarnation === this.incarnation && renewed;
      const held = this.held.get(block);
      if (held !== undefined && (!mine || held.version !== entry?.version)) this.drop(block);
      if (mine && entry !== undefined && !this.held.has(block)) this.take(block, record, entry, this.grant);
    }
    void this.lead();
  }

  private take(block: number, record: BlockRecord, entry: Entry, grant: Grant | null): void {
    if (grant === null) return;
    const { view } = this.services;
    const span = (this.ttl - MARGIN - Math.ceil(this.ttl * 0.001)) as Micros;
    const lease: BlockLease = {
      block,
      number: record.number,
      key: entry.key,
      version: entry.version,
      valid: () =>
        mayAct(
          { held: this.held.get(block) === lease, renewed: grant.renewed, viewed: view.freshAt, span },
          this.clock.now(),
        ),
    };
    this.held.set(block, lease);
    this.events.taken(lease);
  }

  /** Also called by the holder itself when a write shows that the block has passed on. */
  drop(block: number): void {
    if (this.held.delete(block)) this.events.dropped(block);
  }

  /** As a leader, lease out what nobody holds; without one, try to become it. */
  private async lead(): Promise<void> {
    const { view, settings, log } = this.services;
    if (this.acting) {
      // What changes meanwhile must not wait for the next renewal.
      this.actAgain = true;
      return;
    }
    if (this.grant === null || !view.loaded) return;
    const me = view.entries.get(memberKey(settings.label));
    if (me === undefined || readMember(me.value).incarnation !== this.incarnation) return;
    this.acting = true;
    this.actAgain = false;
    try {
      const leader = view.entries.get(LEADER_KEY);
      if (leader === undefined) await this.elect(me, this.grant);
      else if ((leader.value as { incarnation?: unknown }).incarnation === this.incarnation)
        await this.leaseBlocks(leader);
    } catch (error) {
      log.error("leading failed", { error: describeError(error) });
    } finally {
      this.acting = false;
    }
    if (this.actAgain) await this.lead();
  }

  private async elect(me: Entry, grant: Grant): Promise<void> {
    const { store, view, settings, log } = this.services;
    const value = { label: settings.label, incarnation: this.incarnation };
    const result = await store.commit(
      new Map([
        [LEADER_KEY, 0],
        [me.key, me.version],
      ]),
      [{ kind: "put", key: LEADER_KEY, value, lease: grant.lease }],
    );
    if (result.kind === "ok") log.info("leader");
    if (result.kind !== "refused") await view.sync();
  }

  private async leaseBlocks(leader: Entry): Promise<void> {
    const { store, view, log } = this.services;
    for (let block = 0; block < BLOCKS; block += 1) {
      const key = blockKey(block);
      if (view.entries.has(key)) continue;
      const member = this.chooseHolder();
      if (member === null) return;
      const counter = view.entries.get(NUMBER_KEY);
      const number = Number((counter?.value as { number?: number } | undefined)?.number ?? 0) + 1;
      const { lease, incarnation } = readMember(member.value);
      const record: BlockRecord = { label: memberOfKey(member.key) ?? "", incarnation, number };
      const writes: Write[] = [
        { kind: "put", key: NUMBER_KEY, value: { number } },
        { kind: "put", key, value: writeBlock(record), lease },
      ];
      const result = await store.commit(
        new Map([
          [leader.key, leader.version],
          [member.key, member.version],
          [NUMBER_KEY, counter?.version ?? 0],
          [key, 0],
        ]),
        writes,
      );
      if (result.kind === "ok") log.info("block leased", { block, number, holder: record.label });
      await view.sync();
    }
  }

  /** The member with the fewest blocks; the leader itself where it is among them. */
  private chooseHolder(): Entry | null {
    const { view, settings } = this.services;
    const count = new Map<string, number>();
    for (let block = 0; block < BLOCKS; block += 1) {
      const label = this.holder(block);
      if (label !== null) count.set(label, (count.get(label) ?? 0) + 1);
    }
    const members = [...view.entries.values()].filter((entry) => memberOfKey(entry.key) !== null);
    const load = (entry: Entry): number => {
      const label = memberOfKey(entry.key) ?? "";
      return (count.get(label) ?? 0) - (label === settings.label ? 0.5 : 0);
    };
    return members.sort((a, b) => load(a) - load(b))[0] ?? null;
  }
}
