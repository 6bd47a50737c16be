/** Decides whether a call goes over the direct link or through a peer, and through which one. Pure functions. */
import type { PeerHeartbeat } from "./frames.js";
import { LinkStatus } from "./link-status.js";

/** Services that every controller calls. */
export type UpstreamService = "store" | "cloud";

/** What a call is for. */
export type CallTarget = UpstreamService | "worker";

/** What is known of a peer at one moment. */
export interface PeerSnapshot {
  readonly label: string;
  /** Connected, with heartbeats recent enough to rely on it. */
  readonly usable: boolean;
  /** Null: none on the present connection. */
  readonly heartbeat: PeerHeartbeat | null;
  /** Suspicion by the accrual failure detector. */
  readonly phi: number;
}

/** State of this controller's direct links at one moment. */
export interface UpstreamLinks {
  /** The latest call over the direct link failed. */
  readonly failing: Readonly<Record<UpstreamService, boolean>>;
  /** Leads a shard with machines, and receives no worker heartbeat over a direct link. */
  readonly cutOffFromWorkers: boolean;
}

/** A peer reaches the key-value store if that answered it within this time, in milliseconds. */
const MAX_FRESH_AGE_MS = 2_500;
/** The cloud is called less often. */
const MAX_FRESH_CLOUD_AGE_MS = MAX_FRESH_AGE_MS * 4;
/** A peer at this load level gets no relayed calls. */
const SATURATED_LEVEL = 3;

const isReachedBy = (target: CallTarget, { heartbeat }: PeerSnapshot): boolean => {
  if (heartbeat === null) return false;
  if (target === "store") return heartbeat.storeAgeMs < MAX_FRESH_AGE_MS;
  if (target === "cloud") return heartbeat.cloudAgeMs < MAX_FRESH_CLOUD_AGE_MS;
  return !heartbeat.cutOffFromWorkers;
};

/** Whether the direct link to a target works as far as is known. */
const isLinkUp = (target: CallTarget, links: UpstreamLinks): boolean =>
  target === "worker" ? !links.cutOffFromWorkers : !links.failing[target];

/**
 * Whether a call goes over the direct link whatever the peers' state: true for by far the most calls, for which no peer
 * has to be looked at. `relayPeer` as for `selectRelayPeer`.
 */
export const isDirectLinkUsable = (target: CallTarget, links: UpstreamLinks, relayPeer: string | null): boolean =>
  isLinkUp(target, links) && (target !== "worker" || relayPeer === null);

/** Least loaded first, then least suspected, then by label. */
const byPreference = (left: PeerSnapshot, right: PeerSnapshot): number =>
  (left.heartbeat?.loadLevel ?? 0) - (right.heartbeat?.loadLevel ?? 0) ||
  left.phi - right.phi ||
  (left.label < right.label ? -1 : 1);

/**
 * Label of the peer that is to relay a call; null: use the direct link. A peer uses its own direct link only, so there
 * is one hop at most. If no peer reaches the target either, it is down for all and the direct link is as good as any.
 *
 * `relayPeer`: the peer that the worker's latest heartbeat came through; null: it came over the direct link.
 */
export const selectRelayPeer = (
  target: CallTarget,
  links: UpstreamLinks,
  peers: readonly PeerSnapshot[],
  relayPeer: string | null = null,
): string | null => {
  if (target === "worker" && relayPeer !== null) {
    if (peers.some(({ label, usable }) => usable && label === relayPeer)) return relayPeer;
  }
  if (isLinkUp(target, links)) return null;
  const candidates = peers.filter(
    (peer) =>
      peer.usable && (peer.heartbeat?.loadLevel ?? SATURATED_LEVEL) < SATURATED_LEVEL && isReachedBy(target, peer),
  );
  candidates.sort(byPreference);
  return candidates[0]?.label ?? null;
};

/** History of the direct link to a service, as far as its status depends on it. */
export interface LinkHistory {
  /** It has answered at least once. */
  readonly answered: boolean;
  /** The latest call was answered with 503. */
  readonly refused: boolean;
}

/** Status of the link to a service, told apart by what peers report. */
export const linkStatusOf = (
  target: UpstreamService,
  links: UpstreamLinks,
  { answered, refused }: LinkHistory,
  peers: readonly PeerSnapshot[],
): LinkStatus => {
  if (!links.failing[target]) return answered ? LinkStatus.Reachable : LinkStatus.Unknown;
  if (!peers.some((peer) => peer.usable && isReachedBy(target, peer))) return LinkStatus.UnreachableForAll;
  return refused ? LinkStatus.Refused : LinkStatus.UnreachableFromHere;
};
