import type { PeerHeartbeat } from "./frames.js";

/** What is called: the state service, the cloud, or a worker. */
export type CallTarget = "store" | "cloud" | "worker";

/** A sibling as far as it can be counted on now. */
export interface PeerSnapshot {
  readonly label: string;
  readonly usable: boolean;
  readonly heartbeat: PeerHeartbeat | null;
  readonly phi: number;
}

/** How the own ways stand. */
export interface UpstreamLinks {
  /** Since when calls by the own way have failed, with none in between that did not. */
  readonly failing: Readonly<Record<"store" | "cloud", boolean>>;
  /** Machines are held here, and none of them is heard by the own way. */
  readonly cutOffFromWorkers: boolean;
}

/** A service that a sibling had an answer of so lately is there for it. */
const MAX_FRESH_AGE_MS = 2_500;
const SATURATED_LEVEL = 3;

const reaches = (target: CallTarget, { heartbeat: beat }: PeerSnapshot): boolean => {
  if (beat === null) return false;
  if (target === "store") return beat.storeAgeMs < MAX_FRESH_AGE_MS;
  if (target === "cloud") return beat.cloudAgeMs < MAX_FRESH_AGE_MS * 4;
  return !beat.cutOffFromWorkers;
};

/** Nothing speaks for a sibling: by far the most calls, for which nobody needs to be looked at. */
export const isDirectLinkUsable = (target: CallTarget, links: UpstreamLinks, relayPeer: string | null): boolean =>
  target === "worker" ? !links.cutOffFromWorkers && relayPeer === null : !links.failing[target];

/**
 * Which sibling is to carry a call, or null: by the own way. One hop only: a sibling calls by its own way or not at all.
 * Without a sibling that reaches the target, too, the own way is as good as any: the target is away for everybody.
 */
export const selectRelayPeer = (
  target: CallTarget,
  links: UpstreamLinks,
  peers: readonly PeerSnapshot[],
  /** Through whom the machine's last report came, where it was not heard by the own way. */
  relayPeer: string | null = null,
): string | null => {
  if (target === "worker" && relayPeer !== null) {
    if (peers.some(({ label, usable }) => usable && label === relayPeer)) return relayPeer;
  }
  if (target === "worker" ? !links.cutOffFromWorkers : !links.failing[target]) return null;
  const candidates = peers.filter(
    (peer) => peer.usable && (peer.heartbeat?.loadLevel ?? SATURATED_LEVEL) < SATURATED_LEVEL && reaches(target, peer),
  );
  candidates.sort(
    (a, b) =>
      (a.heartbeat?.loadLevel ?? 0) - (b.heartbeat?.loadLevel ?? 0) || a.phi - b.phi || (a.label < b.label ? -1 : 1),
  );
  return candidates[0]?.label ?? null;
};

/** Names for the log and for people; see docs/links.md. */
export type LinkStatus = "reached" | "away for everybody" | "away for me only" | "refused to me" | "not asked yet";

export const linkStatusOf = (
  target: "store" | "cloud",
  links: UpstreamLinks,
  answered: boolean,
  refused: boolean,
  peers: readonly PeerSnapshot[],
): LinkStatus => {
  if (!links.failing[target]) return answered ? "reached" : "not asked yet";
  if (!peers.some((peer) => peer.usable && reaches(target, peer))) return "away for everybody";
  return refused ? "refused to me" : "away for me only";
};
