/** The operators' views of racks and data centres, on a simulated fleet in virtual time. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { recordUnanswered } from '@valvelatch/core/batch';

import { createMetrics } from '../../observe/metrics.js';
import { createDomainGauges } from '../control/domain-gauges.js';
import { answerOperator } from './operator-queries.js';
import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

describe('an operator who queries failure domains', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const ask = (fleet: SimFleet, method: string, kind: string, name = '') =>
    answerOperator(requireHolder(fleet).control, { method, body: { kind, name } }, 1);

  /**
   * Starts a fleet with two data centres of one rack each. Each rack has two hosts of each pool, and a long-running step
   * runs on both racks.
   */
  const startFleet = async () => {
    const domains = { hostsPerRack: 2, dataCentres: 2 };
    const fleet = await createStartedFleet({ hostsPerPool: 4, domains, accounts: [] });
    const step = { taskCount: 4, isLasting: true, mayMiss: 1, cpuMillis: 1000 };
    const jobId = fleet.submit({ pool: 'alpha', steps: [step] });
    await advanceTime(2000);
    return { fleet, jobId };
  };

  /** Records that all endpoints of the second rack have just left a request unanswered. */
  const suspectRack = (fleet: SimFleet): void => {
    const state = requireHolder(fleet).control.term()?.state;
    if (!state) throw new Error('nobody holds control');
    state.endpoints.forEach(({ endpointId, labels }) => {
      if (labels.includes('rack-1')) recordUnanswered(state, endpointId, performance.now());
    });
  };

  it('gets the hosts and runs of each, and the rack label of each host', async () => {
    const { fleet } = await startFleet();
    expect(ask(fleet, 'get', 'domains')).toEqual({
      kind: 'ok',
      value: [
        ['dc-0', 'data centre'],
        ['dc-1', 'data centre'],
        ['dc-0/rack-0', 'rack'],
        ['dc-1/rack-1', 'rack'],
      ].map(([domain, kind]) => ({
        domain,
        kind,
        hosts: 4,
        pools: 'alpha 2, beta 2',
        runs: 2,
        phase: 'up',
        reason: '',
      })),
    });
    const racks = [0, 0, 1, 1, 0, 0, 1, 1].map((rack) => ({ rack: `rack-${rack}` }));
    expect(ask(fleet, 'get', 'hosts')).toMatchObject({ value: racks });
  });

  it('gets what the loss of a domain would affect, and how many tasks may be missed', async () => {
    const { fleet, jobId } = await startFleet();
    const answer = {
      value: {
        outcome: 'rack dc-1/rack-1: 4 hosts, 2 runs',
        reason: 'it is not suspected',
        reasons: [
          {
            of: 'pool alpha',
            reason: 'its loss takes 16 cores on 2 endpoints, 2 of them in use',
          },
          { of: 'pool beta', reason: 'its loss takes 16 cores on 2 endpoints, 0 of them in use' },
          {
            of: `job ${jobId} step 0`,
            reason: 'its loss takes 2 of 4 long-running tasks, 1 may be missed',
          },
        ],
      },
    };
    expect(ask(fleet, 'explain', 'domain', 'dc-1/rack-1')).toMatchObject(answer);
    expect(ask(fleet, 'explain', 'domain', 'rack-1')).toMatchObject(answer);
    expect(ask(fleet, 'explain', 'domain', 'rack-7')?.kind).toBe('not-found');
  });

  it('gets for a job how its long-running step is spread, and that there are too few racks to spread it further', async () => {
    const { fleet, jobId } = await startFleet();
    const spread =
      'spread over 2 racks, at most 2 in one (dc-0/rack-0), and 1 may be missed: 2 racks are too few for that';
    expect(ask(fleet, 'explain', 'job', jobId)).toMatchObject({
      value: { reasons: [{ reason: expect.stringContaining(spread) as string }] },
    });
  });

  it('gets which domain is suspected, and for how long', async () => {
    const { fleet } = await startFleet();
    suspectRack(fleet);
    const reason = 'suspected for 0 ms: 4 of 4 endpoints have not answered since';
    const rows = ask(fleet, 'get', 'domains');
    expect(rows).toMatchObject({
      value: [{ phase: 'up' }, {}, {}, { phase: 'suspected', reason }],
    });
    expect(ask(fleet, 'explain', 'domain', 'rack-1')).toMatchObject({ value: { reason } });
  });

  it('gets the suspected endpoints of a data centre from a gauge, which is 0 after the term', async () => {
    const { fleet } = await startFleet();
    const state = requireHolder(fleet).control.term()?.state;
    if (!state) throw new Error('nobody holds control');
    const metrics = createMetrics();
    const gauges = createDomainGauges(state, metrics);
    suspectRack(fleet);
    gauges.update();
    expect(metrics.text()).toContain('valvelatch_suspected_endpoints{data_centre="dc-0"} 0\n');
    expect(metrics.text()).toContain('valvelatch_suspected_endpoints{data_centre="dc-1"} 4\n');
    gauges.clear();
    expect(metrics.text()).toContain('valvelatch_suspected_endpoints{data_centre="dc-1"} 0\n');
  });
});
