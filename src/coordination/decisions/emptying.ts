import type { Job, Machine } from "../../bookkeeping/picture.js";
import { fits, minus } from "../placement/bfgp.js";
import { allows, zoneAllowed, zoneCounts } from "./eligibility.js";
import { type Candidate, candidates } from "./floor.js";
import type { Picture } from "./picture.js";
import { type History, MIN_CHARGE, standingRoom } from "./rental.js";

/** Machines looked at in one go for whether their replicas could go elsewhere. */
const MOVE_TRIES = 4;
const MOVE_MOST = 10;

const fitElsewhere = (
  picture: Picture,
  history: History,
  server: Candidate,
  servers: readonly Candidate[],
): boolean => {
  const others = servers.filter((other) => other !== server && other.busy).map((other) => ({ ...other }));
  const zones = new Map<Job, Map<string, number>>();
  for (const task of server.machine.tasks) {
    const { spec } = task.job;
    // Kept over the loop: two replicas of one job must not both count on the last place in a zone.
    const counts = zones.get(task.job) ?? zoneCounts(task.job);
    zones.set(task.job, counts);
    counts.set(server.machine.zone, (counts.get(server.machine.zone) ?? 1) - 1);
    const target = others.find(
      ({ machine, free, images }) =>
        fits(spec.demand, free) &&
        images.has(spec.image) &&
        !machine.failures.has(spec.id) &&
        allows(spec, machine.typeName, machine.zone, machine.spot) &&
        zoneAllowed(spec, counts, machine.zone),
    );
    if (target === undefined) return false;
    target.free = minus(target.free, spec.demand);
    counts.set(target.machine.zone, (counts.get(target.machine.zone) ?? 0) + 1);
  }
  // The room kept for the next service must be there afterwards, or a machine would be rented right away.
  return standingRoom(picture, history)
    .filter(({ spec }) => !spec.spot)
    .every(({ spec, count }) => {
      let room = 0;
      for (const { free } of others) room += Math.floor(free.cpu / Math.max(1, spec.demand.cpu));
      return room >= 2 * count;
    });
};

/**
 * Replicas stay long after the work that made their machines fill up. An ordinary machine with few of them is
 * emptied, one machine at a time, when all have a place elsewhere that holds their image already.
 */
export const decideEmptying = (picture: Picture, history: History): Machine | null => {
  const servers = candidates(picture).filter(({ machine }) => !machine.spot);
  const used = ({ machine }: Candidate): number => machine.tasks.size;
  const movable = servers
    .filter(
      (server) => used(server) > 0 && used(server) <= MOVE_MOST && picture.now - server.machine.rentedAt > MIN_CHARGE,
    )
    .filter(({ machine }) =>
      [...machine.tasks].every((task) => task.state === "running" && task.job.spec.shape === "service"),
    )
    .sort((a, b) => used(a) - used(b));
  for (const server of movable.slice(0, MOVE_TRIES)) {
    if (fitElsewhere(picture, history, server, servers)) return server.machine;
  }
  return null;
};
