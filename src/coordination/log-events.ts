/** Log events of the coordination package. */

/**
 * Log events of the control loops: subject and verb. Operators' pages list each with its meaning (docs/operations).
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
  /** The key-value store no longer knows the member lease. */
  MemberLeaseLost: "member lease lost",
  /** A step of joining or renewing threw. */
  MembershipStepFailed: "membership step failed",
  /** A step of electing or assigning threw. */
  ClusterLeadershipFailed: "cluster leadership step failed",
  /** Nothing may be done in the shard's name until the lease is regained. */
  LeaseExpired: "lease expired",
  /** The shard's lease is valid again. */
  LeaseRegained: "lease regained",
  /** A periodic check of the leader threw. */
  LeaderTickFailed: "leader tick failed",
  /** An asynchronous step of the leader threw. */
  LeaderStepFailed: "leader step failed",
  /** A placement round threw. */
  RoundFailed: "round failed",
  /** Every 30 s: pools, waiting jobs, failures, heartbeats and writes. */
  CapacitySummarized: "capacity summarized",
  /** A loop that must not end has ended. */
  LoopFailed: "loop failed",
  /** A worker's heartbeat could not be read. */
  HeartbeatMalformed: "heartbeat malformed",
  /** The recorded list of machine types could not be read. */
  MachineTypesRecordMalformed: "machine types record malformed",
  /** A heartbeat names a machine that was not known. */
  MachineReported: "machine reported",
  /** The first verified heartbeat of a machine has been processed. */
  MachineUp: "machine up",
  /** The cloud takes a spot machine back. */
  MachineReclaimAnnounced: "machine reclaim announced",
  /** Commands and responses arrive at the worker again. */
  WorkerReachable: "worker reachable",
  /** Heartbeats arrive, but commands or responses do not. */
  WorkerUnreachable: "worker unreachable",
  /** The worker has started a new incarnation; its earlier tasks are gone. */
  WorkerIncarnationChanged: "worker incarnation changed",
  /** The worker's counters have begun anew; earlier commands may still arrive. */
  WorkerCountersReset: "worker counters reset",
  /** All tasks of a machine are surely gone. */
  TasksLost: "tasks lost",
  /** A worker no longer lists attempts that it ran. */
  TasksVanished: "tasks vanished",
  /** A worker runs attempts that no placement explains; they are stopped. */
  UnexpectedTasksReported: "unexpected tasks reported",
  /** An attempt ended with an error. */
  TaskFailed: "task failed",
  /** The job fails wherever it runs: one task at a time is tried. */
  JobOnProbation: "job put on probation",
  /** Sound jobs fail on the machine: it is drained and returned. */
  MachineFaulty: "machine faulty",
  /** This process sheds more or less work. */
  LoadLevelChanged: "load level changed",
  /** A recorded range holds placements unknown here: the shard is taken anew. */
  TaskRangeConflicting: "task range conflicting",
  /** An own write without a response turned out to be applied. */
  TaskRangeAdopted: "task range adopted",
  /** The job's outcome is on record. */
  JobEnded: "job ended",
  /** A step of the autoscaler threw. */
  AutoscalerStepFailed: "autoscaler step failed",
  /** The cloud lists a machine that was not known. */
  MachineDiscovered: "machine discovered",
  /** The cloud lists a machine as failed. */
  MachineFailed: "machine failed",
  /** The cloud has confirmed deletions. */
  MachinesDeleted: "machines deleted",
  /** The cloud has answered a provisioning request. */
  MachinesProvisioned: "machines provisioned",
  /** Replicas are moved off a machine so that it can be returned. */
  ConsolidationStarted: "consolidation started",
  /** Tasks are stopped to make capacity for another. */
  TaskPreempted: "task preempted",
  /** Capacity that comes free is reserved for a job. */
  CapacityReserved: "capacity reserved",
  /** The reservation has ended. */
  ReservationReleased: "reservation released",
  /** No capacity for the job within the time that can be waited for. */
  ReservationImpossible: "reservation impossible",
  /** The record of unreachable zones could not be written. */
  UnreachableZonesRecordFailed: "unreachable zones record failed",
  /** Machines without heartbeats are deleted. */
  MachinesSilent: "machines silent",
  /** Machines that nothing reaches are deleted. */
  UnreachableMachinesRemoved: "unreachable machines removed",
  /** The shard is taken anew under a fresh epoch. */
  FencingSequencesExhausted: "fencing sequences exhausted",
  /** A worker's response could not be read. */
  WorkerResponseMalformed: "worker response malformed",
  /** A part of a recorded list of dependencies is missing. */
  DependencyListIncomplete: "dependency list incomplete",
  /** Reading outcomes of dependencies threw. */
  OutcomeReadFailed: "outcome read failed",
  /** Looking up outcomes of ended jobs threw. */
  OutcomeLookupFailed: "outcome lookup failed",
  /** All dependencies of the job are done. */
  JobDependenciesSatisfied: "job dependencies satisfied",
  /** The job was cancelled, or a dependency of it was. */
  JobCancelled: "job cancelled",
  /** A response of the cloud could not be read. */
  CloudResponseMalformed: "cloud response malformed",
  /** Guaranteed work exceeds all capacity: teams are served by turns. */
  GuaranteesOvercommitted: "guarantees overcommitted",
  /** All guaranteed work fits again. */
  GuaranteesSatisfiable: "guarantees satisfiable",
  /** This controller reaches no workers and gives its shard to another; `reason` says how it knows. */
  LeadershipTransferred: "leadership transferred",
} as const;

/** The text of a log event. */
export type LogEventText = (typeof LogEvent)[keyof typeof LogEvent];
