/**
 * The endpoints chosen for the tasks of a step in turn must be those that scoring all endpoints again for each task gives.
 */
import { fc, test } from '@fast-check/vitest';
import { describe, expect } from 'vitest';

import { change } from '../../shared/change.js';
import { addRun } from '../endpoints/runs.js';
import { PLACEMENT_POLICIES } from '../model/placement-policy.js';
import { createBatchState, type StepRun } from '../model/state.js';
import { JOB, submitJob } from '../testing/batch-state.fixtures.js';
import { addEndpointAt } from '../testing/domains.fixtures.js';
import { chooseBestEndpoint } from './best-endpoint.js';
import { createCandidates } from './candidates.js';
import { scoresFor } from './scores.js';

const ENDPOINT = fc.record({
  rack: fc.constantFrom('', 'rack-0', 'rack-1', 'rack-2'),
  dataCentre: fc.constantFrom('', 'dc-0', 'dc-1'),
  usedMillis: fc.integer({ min: 0, max: 8 }).map((cores) => cores * 1000),
  hasMaintenanceAhead: fc.boolean(),
});

const STEP = fc.record({
  isLasting: fc.boolean(),
  mostPerEndpoint: fc.constantFrom(0, 1, 2),
  nearRack: fc.constantFrom('', 'rack-1'),
  cpuMillis: fc.constantFrom(1000, 1400, 3000),
});

describe('the candidates of a step', () => {
  test.prop([
    fc.array(ENDPOINT, { minLength: 1, maxLength: 12 }),
    STEP,
    fc.constantFrom(...PLACEMENT_POLICIES),
    fc.array(fc.option(fc.nat({ max: 11 })), { minLength: 12, maxLength: 12 }),
  ])(
    'are chosen as if every endpoint were scored again for each task',
    (endpointSpecs, stepSpec, placementPolicy, failedAt) => {
      // Guards against a score that a placement changes and that is not computed again.
      const state = createBatchState(2);
      change(state, { placementPolicy });
      const endpoints = endpointSpecs.map(
        ({ rack, dataCentre, usedMillis, hasMaintenanceAhead }, number) => {
          const endpoint = addEndpointAt(state, { number, dataCentre, rack });
          change(endpoint, { hasMaintenanceAhead });
          change(endpoint.used, { cpuMillis: usedMillis });
          return endpoint;
        },
      );
      submitJob(state, JOB, { step: { taskCount: 12, ...stepSpec } });
      const step = state.jobs.get(JOB)?.occurrences.get(0)?.steps[0] as StepRun;
      const view = { state, step, nowMs: 20 };
      const table = scoresFor(state, endpoints, step);
      const candidates = createCandidates(endpoints, view, table);
      step.tasks.all().forEach((task, index) => {
        const failedEndpoint = endpoints[failedAt[index] ?? -1];
        change(task, { avoidedEndpoint: failedEndpoint?.endpointId ?? null });
        const expected = chooseBestEndpoint(endpoints, { ...view, task }, table.scores);
        const chosen = candidates.choose(task);
        expect(chosen?.endpointId).toBe(expected?.endpointId);
        if (!chosen) return;
        addRun(state, { endpoint: chosen, step, task, run: 1, phase: 'running', nowMs: 20 });
        candidates.recordPlacement(chosen);
      });
    },
  );
});
