/** The texts of the log events that the coordination package writes. */

/**
 * Log events of the control loops, each a subject and a verb. The operators' pages describe them (docs/operations).
 */
export const LogEvent = {
  /** This controller has become the leader of a shard. */
  ShardAcquired: "shard acquired",
  /** This controller no longer leads a shard. */
  ShardReleased: "shard released",
  /** The cluster leader has assigned a shard to a member. */
  ShardAssigned: "shard assigned",
  /** This controller has become the cluster leader. */
  ClusterLeaderElected: "cluster leader elected",
  /** This controller holds a member lease. */
  MemberJoined: "member joined",
  /** The member lease no longer exists in the key-value store. */
  MemberLeaseLost: "member lease lost",
  /** A step of joining the cluster or renewing the member lease threw. */
  MembershipStepFailed: "membership step failed",
  /** A step of the cluster leader election or of assigning shards threw. */
  ClusterLeadershipFailed: "cluster leadership step failed",
  /** The shard's lease has expired: the controller does not act as the shard's leader until the lease is regained. */
  LeaseExpired: "lease expired",
  /** The shard's lease is valid again. */
  LeaseRegained: "lease regained",
  /** A periodic check of the shard leader threw. */
  LeaderTickFailed: "leader tick failed",
  /** An asynchronous step of the shard leader threw. */
  LeaderStepFailed: "leader step failed",
  /** A placement round threw. */
  RoundFailed: "round failed",
  /** Summary every 30 s: pools, waiting jobs, failures, starts, heartbeats and writes. */
  CapacitySummarized: "capacity summarized",
  /** A loop that is to run for the life of the process has ended with an error. */
  LoopFailed: "loop failed",
  /** A worker's heartbeat could not be decoded. */
  HeartbeatMalformed: "heartbeat malformed",
  /** The record of the machine types could not be decoded. */
  MachineTypesRecordMalformed: "machine types record malformed",
  /** A heartbeat has arrived from a machine that was not known to the shard. */
  MachineReported: "machine reported",
  /** The first verified heartbeat of a machine has been processed. */
  MachineUp: "machine up",
  /** The cloud has announced that it reclaims a spot instance. */
  MachineReclaimAnnounced: "machine reclaim announced",
  /** Commands and responses reach the worker again. */
  WorkerReachable: "worker reachable",
  /** The worker's heartbeats arrive, but commands or responses do not reach it. */
  WorkerUnreachable: "worker unreachable",
  /** The worker has started as a new incarnation; tasks of the earlier one no longer run. */
  WorkerIncarnationChanged: "worker incarnation changed",
  /** The worker's counters have restarted; commands sent before may still be delivered. */
  WorkerCountersReset: "worker counters reset",
  /** It is certain that none of the machine's tasks runs any more. */
  TasksLost: "tasks lost",
  /** A worker's task list lacks attempts that it ran before. */
  TasksVanished: "tasks vanished",
  /** Starts that were sent and not listed are not repeated: the worker gets a higher token, so that it rejects them. */
  StartsRevoked: "starts revoked",
  /** A worker runs attempts for which no placement exists; they are stopped. */
  UnexpectedTasksReported: "unexpected tasks reported",
  /** An attempt ended with an error. */
  TaskFailed: "task failed",
  /** The job fails on every machine: only one of its tasks at a time is started. */
  JobOnProbation: "job put on probation",
  /** Tasks fail on the machine: it gets one trial task at a time, and is returned to the cloud once it has no tasks. */
  MachineFaulty: "machine faulty",
  /** A trial task has succeeded on a faulty machine, which gets tasks as before. */
  MachineRecovered: "machine recovered",
  /** The load level of this process has changed, and with it the work that it sheds. */
  LoadLevelChanged: "load level changed",
  /** A recorded task range holds placements unknown to this leader: the shard is reacquired. */
  TaskRangeConflicting: "task range conflicting",
  /** This leader's own write of a task range, to which it got no response, was found to be applied. */
  TaskRangeAdopted: "task range adopted",
  /** The job's outcome record has been written. */
  JobEnded: "job ended",
  /** A step of the autoscaler threw. */
  AutoscalerStepFailed: "autoscaler step failed",
  /** The cloud lists a machine that was not known to the shard. */
  MachineDiscovered: "machine discovered",
  /** The cloud lists a machine as failed. */
  MachineFailed: "machine failed",
  /** The cloud has confirmed deletions. */
  MachinesDeleted: "machines deleted",
  /** The cloud has responded to a provisioning request. */
  MachinesProvisioned: "machines provisioned",
  /** A machine is drained of its replicas so that it can be returned to the cloud. */
  ConsolidationStarted: "consolidation started",
  /** Tasks are stopped to free capacity for another task. */
  TaskPreempted: "task preempted",
  /** Capacity that becomes free is reserved for a job. */
  CapacityReserved: "capacity reserved",
  /** A reservation has ended. */
  ReservationReleased: "reservation released",
  /** No reservation can provide capacity for the job within its maximum waiting time. */
  ReservationImpossible: "reservation impossible",
  /** The record of unreachable zones could not be written. */
  UnreachableZonesRecordFailed: "unreachable zones record failed",
  /** Machines that sent no heartbeat for too long are deleted. */
  MachinesSilent: "machines silent",
  /** Machines whose workers cannot be reached are deleted. */
  UnreachableMachinesRemoved: "unreachable machines removed",
  /** The fencing sequences of a machine are used up: the shard is reacquired under a new epoch. */
  FencingSequencesExhausted: "fencing sequences exhausted",
  /** A worker's response could not be decoded. */
  WorkerResponseMalformed: "worker response malformed",
  /** A part of a job's recorded dependency list is missing. */
  DependencyListIncomplete: "dependency list incomplete",
  /** Reading the outcomes of dependencies threw. */
  OutcomeReadFailed: "outcome read failed",
  /** Looking up the outcomes of ended jobs threw. */
  OutcomeLookupFailed: "outcome lookup failed",
  /** All dependencies of the job are done. */
  JobDependenciesSatisfied: "job dependencies satisfied",
  /** The job or one of its dependencies was cancelled. */
  JobCancelled: "job cancelled",
  /** A response of the cloud could not be decoded. */
  CloudResponseMalformed: "cloud response malformed",
  /** The guaranteed work exceeds all capacity: teams are served in turn. */
  GuaranteesOvercommitted: "guarantees overcommitted",
  /** All guaranteed work fits again. */
  GuaranteesSatisfiable: "guarantees satisfiable",
  /** This controller cannot reach the workers and hands its shard to another; `reason` names the evidence. */
  LeadershipTransferred: "leadership transferred",
} as const;

/** The text of a log event. */
export type LogEventText = (typeof LogEvent)[keyof typeof LogEvent];

/** Maximum number of tasks named in one log line. */
export const MAX_LOGGED_TASKS = 5;
