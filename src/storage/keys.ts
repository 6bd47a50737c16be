/**
 * Keys of the records in the key-value store, and functions that parse them.
 *
 * All current records are below `c/`, so that the list at start-up and the watch do not grow with the number of jobs
 * that have ended. The terminal state of an ended job is kept for ever below `e/`, one key for each job.
 * @module
 */

/** Prefix of all current records, which a controller lists when it starts and then watches. */
export const CURRENT_PREFIX = "c/";

/**
 * Number of shards: groups of machines and teams, each leased by one controller. One shard is enough for a deployment
 * of some tens of machines; with three, capacity for the next job would have to be reserved in each of them.
 */
export const SHARD_COUNT = 1;

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 1_000_003;

/**
 * The shard of a team or a machine, from 0 to `SHARD_COUNT` exclusive. A team belongs to a single shard so that a
 * single leader accounts for its limit; a machine, so that a single leader sends it commands.
 */
export const shardOf = (name: string): number => {
  let hash = 0;
  for (const char of name) hash = (hash * HASH_MULTIPLIER + char.charCodeAt(0)) % HASH_MODULUS;
  return hash % SHARD_COUNT;
};

const MEMBER_PREFIX = "c/member/";
const JOB_PREFIX = "c/job/";
const TASK_RANGE_PREFIX = "c/range/";
const DEPENDENCY_LIST_PREFIX = "c/awaits/";

/** The cluster leader (`ClusterLeaderRecord`); exists while one is elected. */
export const CLUSTER_LEADER_KEY = "c/leader";
/** The shard epoch assigned last (`ShardEpochRecord`). */
export const SHARD_EPOCH_KEY = "c/number";
/** The machine types that the cloud offers. */
export const MACHINE_TYPES_KEY = "c/types";
/** Membership of the controller with this label (`MemberRecord`). */
export const memberKey = (label: string): string => `${MEMBER_PREFIX}${label}`;
/** The leader of the shard (`ShardRecord`). */
export const shardKey = (shard: number): string => `c/block/${shard}`;
/** A job that has not ended (`JobRecord`). */
export const jobKey = (id: string): string => `${JOB_PREFIX}${id}`;
/** The tasks of one range of a job (one `TaskRecord` for each task). */
export const taskRangeKey = (id: string, range: number): string => `${TASK_RANGE_PREFIX}${id}/${range}`;
/**
 * Exists while the shard's leader applies back-pressure. All controllers accept jobs for the shard, so all must see it.
 */
export const backpressureKey = (shard: number): string => `c/full/${shard}`;
/** Zones in which no worker responds, and since when (`UnreachableZonesRecord`). */
export const unreachableZonesKey = (shard: number): string => `c/silence/${shard}`;
/** The placements whose start commands all received a response (`AnsweredStartsRecord`). */
export const answeredStartsKey = (shard: number): string => `c/answered/${shard}`;
/**
 * Part of a dependency list that is too long for its job record. The key contains the digest of the list, so its value
 * never changes.
 */
export const dependencyListKey = (id: string, digest: string, part: number): string =>
  `${DEPENDENCY_LIST_PREFIX}${id}/${digest}/${part}`;
/** The terminal state of a job (`OutcomeRecord`). Never deleted. */
export const outcomeKey = (id: string): string => `e/${id}`;

const withoutPrefix = (prefix: string, key: string): string | null =>
  key.startsWith(prefix) ? key.slice(prefix.length) : null;

/** The job whose record has this key; null for any other key. */
export const jobOfKey = (key: string): string | null => withoutPrefix(JOB_PREFIX, key);
/** The job to whose dependency list this key belongs; null for any other key. */
export const jobOfDependencyListKey = (key: string): string | null =>
  withoutPrefix(DEPENDENCY_LIST_PREFIX, key)?.split("/")[0] ?? null;
/** The label of the controller whose membership record has this key; null for any other key. */
export const memberOfKey = (key: string): string | null => withoutPrefix(MEMBER_PREFIX, key);
/** The job and the range index of this task range key; null for any other key. */
export const taskRangeOfKey = (key: string): { id: string; range: number } | null => {
  const suffix = withoutPrefix(TASK_RANGE_PREFIX, key);
  if (suffix === null) return null;
  const slash = suffix.lastIndexOf("/");
  return { id: suffix.slice(0, slash), range: Number(suffix.slice(slash + 1)) };
};
