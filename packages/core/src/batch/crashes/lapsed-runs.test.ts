/** Tests on the crash of an endpoint that was silent before: its runs may have ended long before. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type EndpointId } from '../../shared/ids.js';
import {
  addEndpoint,
  applyAnswer,
  createStateWithJob,
  FIRST,
  FIRST_RUN,
  POOL,
  SECOND,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { recordUnanswered } from '../domains/suspected-domains.js';
import { giveUpRunsOfGoneEndpoints, removeEndpoint } from '../endpoints/gone-endpoints.js';
import { schedulePool } from '../placement/schedule.js';
import { giveUpReason } from './endpoint-crashes.js';

/** How long the endpoint was silent before its host was found without it; leases last a few seconds. */
const SILENT_MS = 30_000;

/** A task that was seen on an endpoint, which alone fell silent, and was gone long after. */
const loseSilentEndpoint = () => {
  const state = createStateWithJob();
  change(state, { takenOverAtMs: 0 });
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: 9, nowMs: 10 });
  schedulePool(state, POOL, 20);
  addEndpoint(state, SECOND, 25);
  const running = [{ task: TASK, run: FIRST_RUN, checkpoint: '', percent: 1, figure: 0 }];
  applyAnswer(state, { running, requestedAtMs: 39, nowMs: 40 });
  recordUnanswered(state, FIRST, 700);
  for (let ms = 1000; ms < SILENT_MS; ms += 1000)
    applyAnswer(state, { endpointId: SECOND, requestedAtMs: ms - 1, nowMs: ms });
  removeEndpoint(state, FIRST, {
    detail: 'restarted',
    atMs: SILENT_MS,
    nowMs: SILENT_MS,
  });
  applyAnswer(state, {
    endpointId: brand<EndpointId>('i-0000000001@later'),
    requestedAtMs: SILENT_MS + 9,
    nowMs: SILENT_MS + 10,
  });
  giveUpRunsOfGoneEndpoints(state, SILENT_MS + 20);
  return state;
};

describe('the crash of an endpoint that alone was silent for longer than its lease', () => {
  it('is only supposed to have happened under a run that was seen before', () => {
    const { crashes } = taskOf(loseSilentEndpoint());
    expect(crashes).toHaveLength(1);
    expect(crashes[0]).toMatchObject({ isKnown: false });
  });

  it('gives up no job if it happens four times', () => {
    const { crashes, key } = taskOf(loseSilentEndpoint());
    const four = [0, 1, 2, 3].flatMap((index) =>
      crashes.map((crash) => ({ ...crash, run: crash.run + index })),
    );
    expect(giveUpReason({ key, crashes: four })).toBeUndefined();
  });
});
