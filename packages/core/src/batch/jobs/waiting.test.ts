/** How many jobs are said to wait. */
import { describe, expect, it } from 'vitest';

import { brand } from '../../shared/ids.js';
import {
  answer,
  FIRST,
  FIRST_RUN,
  POOL,
  see,
  stateWithJob,
  TASK,
} from '../testing/batch-state.fixtures.js';
import { applyStartOutcome } from '../endpoints/order-answers.js';
import { schedulePool } from '../placement/schedule.js';
import type { BatchState } from '../model/state.js';
import { countWaiting } from './waiting.js';

const START = { task: TASK, run: FIRST_RUN };

describe('a job whose only task was ordered to begin', () => {
  const ordered = (): BatchState => {
    const state = stateWithJob();
    see(state, FIRST);
    answer(state, { askedAtMs: 8, nowMs: 10 });
    schedulePool(state, POOL, 20);
    return state;
  };
  const waitingIn = (state: BatchState): number => countWaiting(state).get(brand('q')) ?? 0;

  it('waits until it is known to have begun: the order may have reached nobody', () => {
    const state = ordered();
    expect(waitingIn(state)).toBe(1);
    applyStartOutcome(state, FIRST, { ...START, outcome: 'unknown', nowMs: 900 });
    expect(waitingIn(state)).toBe(1);
  });

  it('waits no more once the order is answered', () => {
    const state = ordered();
    applyStartOutcome(state, FIRST, { ...START, outcome: 'started', nowMs: 25 });
    expect(waitingIn(state)).toBe(0);
  });

  it('waits no more once its endpoint lists the run, or its end', () => {
    const running = [{ ...START, checkpoint: '', percent: 10, figure: 0 }];
    const ended = [{ ...START, number: 1, kind: 'stopped' as const, checkpoint: '' }];
    [{ running }, { ended }].forEach((lists) => {
      const state = ordered();
      answer(state, { ...lists, askedAtMs: 28, nowMs: 30 });
      expect(waitingIn(state)).toBe(0);
    });
  });
});
