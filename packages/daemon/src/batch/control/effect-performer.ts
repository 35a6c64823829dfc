/** Carries out the effects that the logic of a term has decided: orders to endpoints, saves, questions and log lines. */
import {
  isFinal,
  isWithinObjective,
  removeEffects,
  type AdmissionControl,
  type BatchEffect,
  type BatchState,
} from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { LinkEffect } from '../endpoints/endpoint-link.js';
import type { JobSaver } from '../jobs/job-saver.js';

type EffectOf<Kind extends BatchEffect['kind']> = Extract<BatchEffect, { kind: Kind }>;

type EffectHandlers = {
  readonly [Kind in BatchEffect['kind']]: (effect: EffectOf<Kind>) => void;
};

export type EffectPerformerOptions = {
  /** The state whose effects are carried out. */
  readonly state: BatchState;
  /** Sends the order of an effect to its endpoint. */
  readonly performAtEndpoint: (effect: LinkEffect) => void;
  /** Queues a question to the advice service. */
  readonly askForAdvice: (effect: EffectOf<'advise'>) => void;
  /** Learns of completed jobs. */
  readonly admission: Pick<AdmissionControl, 'recordCompletion'>;
  readonly requestSave: JobSaver['requestSave'];
  readonly log: Log;
  readonly nowMs: () => number;
};

/**
 * Creates the function that removes the pending effects from the state and carries them out.
 *
 * @param options - The state, and what carries out its effects.
 * @returns The function; it carries out the effects in the order in which they were decided.
 */
export const createEffectPerformer = ({
  state,
  performAtEndpoint,
  askForAdvice,
  admission,
  requestSave,
  log,
  nowMs,
}: EffectPerformerOptions): (() => void) => {
  /** Logs the end of a job, and reports a completed one to the admission. */
  const recordEnd = (jobId: EffectOf<'save'>['jobId']): void => {
    const job = state.jobs.get(jobId);
    if (!job || !isFinal(job.phase)) return;
    log.info('job-ended', { job: jobId, phase: job.phase, reason: job.reason });
    if (job.phase === 'completed')
      admission.recordCompletion(job.job, isWithinObjective(state, job, nowMs()));
  };

  const handlers: EffectHandlers = {
    start: performAtEndpoint,
    stop: performAtEndpoint,
    pace: performAtEndpoint,
    ask: performAtEndpoint,
    advise: askForAdvice,
    save: ({ jobId, isUrgent }) => {
      if (isUrgent) recordEnd(jobId);
      requestSave(jobId, isUrgent);
    },
    note: ({ event, fields }) => log.info(event, fields),
  };

  const performOne = (effect: BatchEffect): void => {
    const handle = handlers[effect.kind] as (one: BatchEffect) => void;
    handle(effect);
  };

  return () => removeEffects(state).forEach(performOne);
};
