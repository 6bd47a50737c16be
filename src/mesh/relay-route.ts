/** Route selection: whether a call uses the direct link or a peer, and which peer. Pure functions. */
import type { PeerHeartbeat } from "./frames.js";
import { LinkStatus } from "./link-status.js";

/** Services that every controller calls. */
export type UpstreamService = "store" | "cloud";

/** Destination of a call. */
export type CallTarget = UpstreamService | "worker";

/** State of a peer at one moment. */
export interface PeerSnapshot {
  readonly label: string;
  /** Connected, with heartbeats recent enough for relaying. */
  readonly usable: boolean;
  /** Latest heartbeat; null: none yet on the current connection. */
  readonly heartbeat: PeerHeartbeat | null;
  /** Suspicion of the accrual failure detector. */
  readonly phi: number;
}

/** State of this controller's direct links at one moment. */
export interface UpstreamLinks {
  /** Whether the latest call over the direct link failed. */
  readonly failing: Readonly<Record<UpstreamService, boolean>>;
  /** This controller leads a shard with machines and receives no worker heartbeats over direct links. */
  readonly cutOffFromWorkers: boolean;
}

/** A peer reaches the key-value store if the store's last response to it is more recent than this. */
const MAX_FRESH_AGE_MS = 2_500;
/** As above for the cloud, which is called less often. */
const MAX_FRESH_CLOUD_AGE_MS = MAX_FRESH_AGE_MS * 4;
/** No calls are relayed through a peer at this load level. */
const SATURATED_LEVEL = 3;

const isReachableVia = (target: CallTarget, { heartbeat }: PeerSnapshot): boolean => {
  if (heartbeat === null) return false;
  if (target === "store") return heartbeat.storeAgeMs < MAX_FRESH_AGE_MS;
  if (target === "cloud") return heartbeat.cloudAgeMs < MAX_FRESH_CLOUD_AGE_MS;
  return !heartbeat.cutOffFromWorkers;
};

/** Whether the direct link to a target is not known to fail. */
const isLinkUp = (target: CallTarget, links: UpstreamLinks): boolean =>
  target === "worker" ? !links.cutOffFromWorkers : !links.failing[target];

/**
 * Whether a call uses the direct link regardless of the peers' state. True for nearly all calls, which are thus spared
 * the inspection of the peers. `relayPeer` as for `selectRelayPeer`.
 */
export const isDirectLinkUsable = (target: CallTarget, links: UpstreamLinks, relayPeer: string | null): boolean =>
  isLinkUp(target, links) && (target !== "worker" || relayPeer === null);

/** Sort order of relay candidates: lowest load level, then lowest phi, then label. */
const byPreference = (left: PeerSnapshot, right: PeerSnapshot): number =>
  (left.heartbeat?.loadLevel ?? 0) - (right.heartbeat?.loadLevel ?? 0) ||
  left.phi - right.phi ||
  (left.label < right.label ? -1 : 1);

/**
 * Label of the peer to relay a call through; null: use the direct link. A relaying peer uses only its own direct link,
 * so a call takes at most one hop. If no peer reaches the target either, no route is better than the direct link.
 *
 * `relayPeer`: the peer that relayed the worker's latest heartbeat; null: it was received over the direct link.
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
      peer.usable && (peer.heartbeat?.loadLevel ?? SATURATED_LEVEL) < SATURATED_LEVEL && isReachableVia(target, peer),
  );
  candidates.sort(byPreference);
  return candidates[0]?.label ?? null;
};

/** The part of a direct link's history that determines its status. */
export interface LinkHistory {
  /** The service has responded at least once. */
  readonly answered: boolean;
  /** The latest call failed with status 503. */
  readonly refused: boolean;
}

/** Status of the link to a service; peers' heartbeats distinguish an outage from a failure of this link. */
export const linkStatusOf = (
  target: UpstreamService,
  links: UpstreamLinks,
  { answered, refused }: LinkHistory,
  peers: readonly PeerSnapshot[],
): LinkStatus => {
  if (!links.failing[target]) return answered ? LinkStatus.Reachable : LinkStatus.Unknown;
  if (!peers.some((peer) => peer.usable && isReachableVia(target, peer))) return LinkStatus.UnreachableForAll;
  return refused ? LinkStatus.Refused : LinkStatus.UnreachableFromHere;
};
