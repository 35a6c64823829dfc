/** What is known of jobs, their steps and tasks. Records change in place. */
import type { DomainId, EndpointId } from '../../shared/ids.js';
import type { JobShare } from './share.js';
import type { BatchJob, BatchPhase, QueuePolicy, StepSpec, TaskKey } from './job.js';

/** One task. */
export type Task = {
  readonly key: TaskKey;
  readonly index: number;
  phase: 'waiting' | 'placed' | 'done';
  /**
   * The runs that failed. Numbers rather than a count: reports come again until they are
   * acknowledged, from several endpoints in any order.
   */
  failedRuns: readonly number[];
  /** The highest run number that was used. */
  lastRun: number;
  /** The run that ended last, and when it was counted as ended; null if none is known to have. */
  lastEnd: { readonly run: number; readonly countedAtMs: number } | null;
  /** Where the work can be resumed; '' for the start. */
  checkpoint: string;
  /** The endpoint of the last failure: the next run goes elsewhere if it can. */
  avoid: EndpointId | null;
  /** For lasting tasks: since when it has not been at work; 0 while it is. */
  awaySinceMs: number;
  /** Endpoints that crashed by themselves under it, the first one first. */
  crashes: readonly EndpointCrash[];
  /** The start that its job's row announces, for a task that endpoints crashed under; null where none is open. */
  trial: Trial | null;
};

/** A start that is written down before it is ordered. */
export type Trial = {
  readonly run: number;
  /** An earlier holder announced it: the run may have begun. */
  readonly isInherited: boolean;
};

/** An endpoint that crashed by itself while a run of a task was there. */
export type EndpointCrash = {
  readonly run: number;
  /** For how long the endpoint is known to have lived with the run. */
  readonly livedMs: number;
  /** The endpoint is known to have begun the run, and to have been responsive until shortly before its end. */
  readonly isConfirmed: boolean;
  /** The run had begun so short a time before that it may be to blame. */
  readonly isSuspected: boolean;
  /** Every run of another job had been there for long. */
  readonly isSoleSuspect: boolean;
  /** Others, of which no task explains the end, crashed about then: a rack, a power feed. */
  readonly isCorrelated: boolean;
  /** The fence of the holder that counted it. */
  readonly fence: number;
  /** When it was counted, by the time of day. */
  readonly countedAtMs: number;
};

/** Which endpoints may run a step, as far as it was asked. */
export type StepAdvice = {
  readonly tickets: Map<EndpointId, { readonly ticket: string; readonly validUntilMs: number }>;
  readonly refused: Set<EndpointId>;
  isAsking: boolean;
  /** After a question without an answer. */
  notBeforeMs: number;
};

/**
 * Builds the advice of a step that nothing was asked about yet.
 *
 * @returns The advice.
 */
export const createStepAdvice = (): StepAdvice => ({
  tickets: new Map(),
  refused: new Set(),
  isAsking: false,
  notBeforeMs: 0,
});

/** A step of one occurrence of a job. */
export type StepRun = {
  readonly job: JobState;
  readonly occurrence: OccurrenceState;
  readonly number: number;
  readonly spec: StepSpec;
  /** Tasks of a kind take alike times: those of a queue with the same image. */
  readonly kind: string;
  readonly tasks: readonly Task[];
  /** Indices of tasks that wait for a place; meaningful once the step is open. */
  waiting: number[];
  isOpen: boolean;
  doneCount: number;
  /** How many tasks of the step stand on an endpoint. */
  readonly perEndpoint: Map<EndpointId, number>;
  /** How many stand in a rack or a data centre. */
  readonly perDomain: Map<DomainId, number>;
  /** Not tried again everywhere before this time. */
  retryAtMs: number;
  /** It fitted nowhere as the room was at this revision. */
  triedAtRevision: number;
  /** Null where the queue needs no advice. */
  readonly advice: StepAdvice | null;
};

/** One repetition of a job's steps. */
export type OccurrenceState = {
  readonly number: number;
  readonly dueAtMs: number;
  readonly steps: StepRun[];
};

/** A job with the state of its tasks. */
export type JobState = {
  readonly job: BatchJob;
  policy: QueuePolicy;
  phase: BatchPhase;
  /** In terms of the operator's labels: why it stands where it does. */
  reason: string;
  readonly occurrences: Map<number, OccurrenceState>;
  nextOccurrence: number;
  /** When its client first tried to hand it in, as far as that is known, by the monotonic clock. */
  readonly sinceMs: number;
  /** Where it stands among the jobs of all accounts. */
  readonly share: JobShare;
  /** Accepted under an earlier holder: a task may be running where nobody has answered yet. */
  readonly isInherited: boolean;
  /** A task of it is known to have begun; that one was ordered does not show it. */
  hasBegun: boolean;
  /** Rises with each change of what its row tells of crashes and trials: here, and as the row has them. */
  blameRevision: number;
  writtenBlameRevision: number;
};
