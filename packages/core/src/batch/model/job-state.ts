/** The state of jobs, their steps and tasks. Records are changed in place. */
import type { AccountName, DomainId, EndpointId, JobId } from '../../shared/ids.js';
import type { JobShare } from './share.js';
import type { BatchJob, BatchPhase, QueueName, QueuePolicy, StepSpec, TaskKey } from './job.js';
import type { TaskList } from './task-list.js';

/** The state of one task. */
export type Task = {
  readonly key: TaskKey;
  readonly index: number;
  phase: 'waiting' | 'placed' | 'done';
  /**
   * The numbers of the runs that failed. A count would not do: reports are repeated until they are acknowledged, and
   * come from several endpoints in any order.
   */
  failedRuns: readonly number[];
  /** The highest run number used so far. */
  lastRun: number;
  /** This holder has sent an order to start the task. */
  isOrdered: boolean;
  /**
   * An endpoint reported a run of the task at a time when no earlier holder could send orders any more. That run was
   * therefore the only one, and every later run was ordered by this holder.
   */
  isLocated: boolean;
  /** The run that ended last, and when it was counted as ended; null if no run is known to have ended. */
  lastEnd: { readonly run: number; readonly countedAtMs: number } | null;
  /** The checkpoint from which the task can be resumed; '' to start from the beginning. */
  checkpoint: string;
  /** The endpoint of the last failure, which the next run avoids if possible; null if there is none. */
  avoidedEndpoint: EndpointId | null;
  /** For a long-running task: since when it has been unavailable; 0 while it is ready. */
  unavailableSinceMs: number;
  /** Crashes of endpoints that held the task, the first one first. An end that was ordered or announced is no crash. */
  crashes: readonly EndpointCrash[];
  /**
   * The announced start of the task: it is written to the job's row before it is ordered, because endpoints crashed or
   * may have crashed under the task. Null if there is none. See `crashes/trials.ts`.
   */
  trial: Trial | null;
};

/** An announced start: one that is written to the job's row before it is ordered. */
export type Trial = {
  readonly run: number;
  /** The endpoint that is to start the run; null in rows that do not name it. */
  readonly endpointId: EndpointId | null;
  /** An earlier holder announced the start, so the run may have started. */
  readonly isInherited: boolean;
  /** The run is conclusive, and an answer of the endpoint has shown it: see `crashes/pool-calm.ts`. */
  readonly isConclusive: boolean;
};

/** What is recorded of any crash of an endpoint that held, or may have held, a run of a task. */
type CrashRecord = {
  readonly run: number;
  /** For how long the endpoint is known to have been alive with the run, in milliseconds. */
  readonly livedMs: number;
  /** The run had started so shortly before the crash that it may have caused it. */
  readonly isSuspected: boolean;
  /** All runs of other jobs had been on the endpoint for so long that they are unlikely to be the cause. */
  readonly isSoleSuspect: boolean;
  /**
   * Other endpoints, whose crashes no task explains, crashed at about the same time, for example because a rack or a power
   * feed failed.
   */
  readonly isCorrelated: boolean;
  /** The run was conclusive: see `crashes/pool-calm.ts`. */
  readonly isConclusive?: boolean | undefined;
  /** The fencing token of the holder that counted the crash. */
  readonly fence: number;
  /** The wall-clock time at which the crash was counted, in milliseconds since 1970. */
  readonly countedAtMs: number;
};

/** The crash of an endpoint under a run that was seen there. */
export type KnownCrash = CrashRecord & {
  readonly isKnown: true;
  /**
   * The endpoint answered until shortly before it crashed, or the run was conclusive, so the run was there
   * at the time. Otherwise the endpoint had been silent for longer, and no other endpoint of its pool lived on unheard.
   */
  readonly isConfirmed: boolean;
};

/**
 * A crash that may have happened under a run: no answer has shown that the run had started, or the run may have ended
 * before the endpoint crashed.
 */
export type SupposedCrash = CrashRecord & {
  readonly isKnown: false;
  readonly isConfirmed: false;
};

/** A crash of an endpoint that is counted against a task; an end that was ordered or announced is no crash. */
export type EndpointCrash = KnownCrash | SupposedCrash;

/** What the advice service has answered about a step: which endpoints may run it. */
export type StepAdvice = {
  /** The endpoints that may run the step, with their tickets. */
  readonly tickets: Map<EndpointId, { readonly ticket: string; readonly validUntilMs: number }>;
  /** The endpoints that may not run the step. */
  readonly refused: Set<EndpointId>;
  /** A question is open. */
  isQuestionOpen: boolean;
  /** No question is asked before this time; set after a question that was not answered. */
  nextQuestionAtMs: number;
};

/**
 * Builds the advice of a step about which no question has been asked yet.
 *
 * @returns The advice.
 */
export const createStepAdvice = (): StepAdvice => ({
  tickets: new Map(),
  refused: new Set(),
  isQuestionOpen: false,
  nextQuestionAtMs: 0,
});

/** A step of one occurrence of a job. */
export type StepRun = {
  readonly job: JobState;
  readonly occurrence: OccurrenceState;
  readonly number: number;
  readonly spec: StepSpec;
  /**
   * The queue and image of the tasks. Run times are recorded for each kind, because tasks of one kind take similar
   * times.
   */
  readonly kind: string;
  readonly tasks: TaskList;
  /** The indices of the tasks that wait to be placed; meaningful only once the step is open. */
  readonly waiting: number[];
  /** All steps that the step depends on are done, so its tasks may start. */
  isOpen: boolean;
  doneCount: number;
  /** The number of the step's tasks on each endpoint. */
  readonly perEndpoint: Map<EndpointId, number>;
  /** The number of the step's tasks in each rack and data centre. */
  readonly perDomain: Map<DomainId, number>;
  /** The step is not tried on all endpoints again before this time. */
  retryAtMs: number;
  /** The `freeCapacityRevision` of the `BatchState` at which the step last could not be placed completely. */
  triedAtRevision: number;
  /** Null if the queue needs no advice. */
  readonly advice: StepAdvice | null;
};

/** One repetition of a job's steps. */
export type OccurrenceState = {
  readonly number: number;
  /** When the occurrence is due. */
  readonly dueAtMs: number;
  readonly steps: StepRun[];
  /** The estimated work time of the longest chain of steps, kept for a short time; undefined before the first estimate. */
  criticalWork: { readonly ms: number; readonly estimatedAtMs: number } | undefined;
};

/** The state of a job and of its tasks. */
export type JobState = {
  readonly job: BatchJob;
  policy: QueuePolicy;
  phase: BatchPhase;
  /** Why the job is in its phase, in terms that operators know, such as the names of its queue and pool. */
  reason: string;
  /** The occurrences that have a state: those in progress, and the only one of a job that does not recur. */
  readonly occurrences: Map<number, OccurrenceState>;
  /** The first occurrence that was not started yet. */
  nextOccurrence: number;
  /** The occurrences of a recurring job below this number are all done. */
  doneBelow: number;
  /** The done occurrences of a recurring job that are not below `doneBelow`. */
  readonly doneAhead: Set<number>;
  /** How many due occurrences were recorded as arrived work. */
  arrivedOccurrences: number;
  /** The first known time at which the client tried to submit the job, on the monotonic clock. */
  readonly submittedAtMs: number;
  /** The position of the job among the jobs of all accounts. */
  readonly share: JobShare;
  /** The job was accepted under an earlier holder, so a task may be running on an endpoint that has not answered yet. */
  readonly isInherited: boolean;
  /** A task of the job is known to have started. An order to start one is not enough to know that. */
  hasStarted: boolean;
  /** Incremented with each change of the crashes and announced starts that the job's row contains. */
  crashRecordRevision: number;
  /** The `crashRecordRevision` that the job's row was last written with. */
  writtenCrashRecordRevision: number;
};

/** An accepted job that stays in its row until the holder has memory for it. */
export type DeferredJob = {
  readonly jobId: JobId;
  readonly queue: QueueName;
  readonly account: AccountName | undefined;
  /** What the job takes when it is added to the state. */
  readonly neededBytes: number;
  /** The version of its row, which tells the order in which jobs were accepted. */
  readonly version: number;
  /** Its progress row shows that a task has started. */
  readonly hasStarted: boolean;
  /** Something else depends on the job, so it is added whether or not there is memory for it. */
  isRequested: boolean;
};
