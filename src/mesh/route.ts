import type { Beat } from "./frames.js";

/** What is called: the state service, the cloud, or a worker. */
export type Target = "state" | "cloud" | "worker";

/** A sibling as far as it can be counted on now. */
export interface PeerView {
  readonly label: string;
  readonly usable: boolean;
  readonly beat: Beat | null;
  readonly phi: number;
}

/** How the own ways stand. */
export interface Ways {
  /** Since when calls by the own way have failed, with none in between that did not. */
  readonly failing: Readonly<Record<"state" | "cloud", boolean>>;
  /** Machines are held here, and none of them is heard by the own way. */
  readonly deaf: boolean;
}

/** A service that a sibling had an answer of so lately is there for it. */
const FRESH_MS = 2_500;
const FULL = 3;

const reaches = (target: Target, { beat }: PeerView): boolean => {
  if (beat === null) return false;
  if (target === "state") return beat.stateAgeMs < FRESH_MS;
  if (target === "cloud") return beat.cloudAgeMs < FRESH_MS * 4;
  return !beat.deaf;
};

/** Nothing speaks for a sibling: by far the most calls, for which nobody needs to be looked at. */
export const ownWayStands = (target: Target, ways: Ways, heardThrough: string | null): boolean =>
  target === "worker" ? !ways.deaf && heardThrough === null : !ways.failing[target];

/**
 * Which sibling is to carry a call, or null: by the own way. One hop only: a sibling calls by its own way or not at all.
 * Without a sibling that reaches the target, too, the own way is as good as any: the target is away for everybody.
 */
export const routeFor = (
  target: Target,
  ways: Ways,
  peers: readonly PeerView[],
  /** Through whom the machine's last report came, where it was not heard by the own way. */
  heardThrough: string | null = null,
): string | null => {
  if (target === "worker" && heardThrough !== null) {
    if (peers.some(({ label, usable }) => usable && label === heardThrough)) return heardThrough;
  }
  if (target === "worker" ? !ways.deaf : !ways.failing[target]) return null;
  const able = peers.filter((peer) => peer.usable && (peer.beat?.level ?? FULL) < FULL && reaches(target, peer));
  able.sort((a, b) => (a.beat?.level ?? 0) - (b.beat?.level ?? 0) || a.phi - b.phi || (a.label < b.label ? -1 : 1));
  return able[0]?.label ?? null;
};

/** Names for the log and for people; see docs/links.md. */
export type Standing = "reached" | "away for everybody" | "away for me only" | "refused to me" | "not asked yet";

export const standingOf = (
  target: "state" | "cloud",
  ways: Ways,
  answered: boolean,
  refused: boolean,
  peers: readonly PeerView[],
): Standing => {
  if (!ways.failing[target]) return answered ? "reached" : "not asked yet";
  if (!peers.some((peer) => peer.usable && reaches(target, peer))) return "away for everybody";
  return refused ? "refused to me" : "away for me only";
};
