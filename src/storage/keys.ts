/**
 * Keys of the records that this program keeps in the key-value store, and the way back from a key to what it names.
 *
 * All that is still going on lies below `c/`, so that a start-up list and the watch do not grow with the jobs that ever
 * ended; those have their terminal state below `e/`, one key a job, for ever.
 * @module
 */

/** Below it lies all that is current: what a controller lists at its start and watches from then on. */
export const CURRENT_PREFIX = "c/";

/**
 * Number of shards: groups of machines, and of teams, that are leased separately. One holds all of a deployment of some
 * tens of machines: cut in three, the capacity reserved for the next job would be needed three times over.
 */
export const SHARD_COUNT = 1;

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 1_000_003;

/**
 * The shard of a team or a machine, from 0 up to `SHARD_COUNT` exclusive. A team has one shard, so that one ledger keeps
 * its limit; a machine has one, so that one leader commands it.
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

/** The cluster leader (`ClusterLeaderRecord`), there while one is elected. */
export const CLUSTER_LEADER_KEY = "c/leader";
/** The last shard epoch that was given out (`ShardEpochRecord`). */
export const SHARD_EPOCH_KEY = "c/number";
/** The machine types that the cluster can have. */
export const MACHINE_TYPES_KEY = "c/types";
/** A controller that takes part (`MemberRecord`), by its label. */
export const memberKey = (label: string): string => `${MEMBER_PREFIX}${label}`;
/** Whose shard it is (`ShardRecord`). */
export const shardKey = (shard: number): string => `c/block/${shard}`;
/** A job that has not ended (`JobRecord`). */
export const jobKey = (id: string): string => `${JOB_PREFIX}${id}`;
/** The tasks of one range of a job (`TaskRecord`, one a task). */
export const taskRangeKey = (id: string, range: number): string => `${TASK_RANGE_PREFIX}${id}/${range}`;
/** There while the shard's leader can take nothing more; all controllers accept jobs for it, so all have to know. */
export const backpressureKey = (shard: number): string => `c/full/${shard}`;
/** Zones in which no worker has answered for a while, and since when (`UnreachableZonesRecord`). */
export const unreachableZonesKey = (shard: number): string => `c/silence/${shard}`;
/** Up to where all starts of placed tasks were answered (`AnsweredStartsRecord`). */
export const answeredStartsKey = (shard: number): string => `c/answered/${shard}`;
/**
 * Part of a list of dependencies that is too long for its job's own record. The digest is the list's: nothing else is
 * ever stored under the key.
 */
export const dependencyListKey = (id: string, digest: string, part: number): string =>
  `${DEPENDENCY_LIST_PREFIX}${id}/${digest}/${part}`;
/** The terminal state of a job (`OutcomeRecord`). Never deleted. */
export const outcomeKey = (id: string): string => `e/${id}`;

const withoutPrefix = (prefix: string, key: string): string | null =>
  key.startsWith(prefix) ? key.slice(prefix.length) : null;

/** The job whose record has this key; null for any other key. */
export const jobOfKey = (key: string): string | null => withoutPrefix(JOB_PREFIX, key);
/** The job to whose list of dependencies this key belongs; null for any other key. */
export const jobOfDependencyListKey = (key: string): string | null =>
  withoutPrefix(DEPENDENCY_LIST_PREFIX, key)?.split("/")[0] ?? null;
/** The label of the controller whose record has this key; null for any other key. */
export const memberOfKey = (key: string): string | null => withoutPrefix(MEMBER_PREFIX, key);
/** The job and the index of the range that this key is of; null for any other key. */
export const taskRangeOfKey = (key: string): { id: string; range: number } | null => {
  const rest = withoutPrefix(TASK_RANGE_PREFIX, key);
  if (rest === null) return null;
  const slash = rest.lastIndexOf("/");
  return { id: rest.slice(0, slash), range: Number(rest.slice(slash + 1)) };
};
