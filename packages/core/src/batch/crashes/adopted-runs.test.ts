/** Tests on the crash of an endpoint under a run that the holder found there: it may have begun just before that. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import {
  addEndpoint,
  applyAnswer,
  createStateWithJob,
  FIRST,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { giveUpRunsOfGoneEndpoints, removeEndpoint } from '../endpoints/gone-endpoints.js';

const FIRST_ANSWER_AT_MS = 3000;

describe('the crash of an endpoint 10 ms after it first listed a run to a new holder', () => {
  it('does not clear the task, as a late order may have begun the run after the takeover', () => {
    const state = createStateWithJob({ isInherited: true });
    change(state, { takenOverAtMs: 0 });
    addEndpoint(state, FIRST);
    applyAnswer(state, {
      running: [{ task: TASK, run: 1001, checkpoint: '', percent: 1, figure: 0 }],
      requestedAtMs: FIRST_ANSWER_AT_MS - 1,
      nowMs: FIRST_ANSWER_AT_MS,
    });
    const atMs = FIRST_ANSWER_AT_MS + 10;
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs, nowMs: atMs });
    giveUpRunsOfGoneEndpoints(state, atMs);
    expect(taskOf(state).crashes).toMatchObject([{ isSuspected: true }]);
  });
});
