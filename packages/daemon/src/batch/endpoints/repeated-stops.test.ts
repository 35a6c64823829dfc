/** Stop orders that were given up, because the control lease was uncertain or the endpoint refused them for long. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createLeasedEndpoint, type LeasedEndpoint } from '../testing/leased-endpoint.fixtures.js';
import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';

const TABLE_OUTAGE_MS = 9000;
/** The control lease lasts 8 s from its last renewal, which was up to 1.4 s before the outage. */
const UNTIL_ORDERS_ARE_LOST_MS = 5600;
const CUT_MS = 2900;

describe('an order to stop a run whose start had no answer', () => {
  let endpoint: LeasedEndpoint;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
    endpoint = createLeasedEndpoint({ taskCount: 1, runMs: Infinity });
  });

  afterEach(() => {
    endpoint.close();
    vi.useRealTimers();
  });

  const describeRuns = (): readonly string[] =>
    Array.from(endpoint.state.endpoints.values()).flatMap(({ runs }) =>
      Array.from(runs.values(), ({ task, run, phase }) => `${task.key} ${run} ${phase}`),
    );

  it('is sent again once the control lease is certain again, so that the task is started again', async () => {
    await advanceTime(2000);
    endpoint.addFault('table', TABLE_OUTAGE_MS);
    await advanceTime(UNTIL_ORDERS_ARE_LOST_MS);
    endpoint.addFault('cut', CUT_MS);
    endpoint.submit(1, 300);
    await advanceTime(20_000);
    const phases = Array.from(endpoint.state.jobs.values(), ({ phase }) => phase);
    expect(describeRuns()).toHaveLength(1);
    expect(phases).toEqual(['running', 'completed']);
    expect(endpoint.violations).toEqual([]);
  });
});
