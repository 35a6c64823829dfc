/**
 * Orders sent through relays, in virtual time. Guards against a holder that still sends most of the bytes itself, and
 * against lost jobs or endpoint leases when a relay is killed, freezes or cannot reach an endpoint.
 */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const JOB_COUNT = 40;
const SUBMIT_INTERVAL_MS = 200;
/** Capacity of the holder's link. The load of `runJobs` puts 100 bytes per millisecond on it. */
const LINK_BYTES_PER_MS = 150;
/** Two attempts at a start, each with the longest timeout and the round trip to a relay, lie within this time. */
const MAX_RESEND_MS = 2500;
const RELAYING_OPTIONS = { hostsPerPool: 6, mayRelayOrders: true };

describe('orders of a holder whose link is busy', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const otherEntriesOf = (fleet: SimFleet): readonly SimEntry[] =>
    fleet.entries.filter((entry) => entry !== fleet.findHolder());

  /**
   * Submits the jobs one after the other, calls `injectFault` after each, and checks that all complete without a
   * violation.
   */
  const runJobs = async (
    injectFault: (fleet: SimFleet, turn: number) => void = () => undefined,
  ) => {
    const fleet = await createStartedFleet({
      ...RELAYING_OPTIONS,
      linkBytesPerMs: LINK_BYTES_PER_MS,
    });
    const jobs: JobId[] = [];
    for (let turn = 0; turn < JOB_COUNT; turn += 1) {
      const pool = turn % 2 ? 'alpha' : 'beta';
      jobs.push(fleet.submit({ pool, steps: [{ taskCount: 12 }], runMs: 800, specBytes: 1200 }));
      await advanceTime(SUBMIT_INTERVAL_MS);
      injectFault(fleet, turn);
    }
    await advanceTime(12_000);
    expect(fleet.violations).toEqual([]);
    expect(jobs.filter((job) => phaseOf(fleet, job) !== 'completed')).toEqual([]);
    return fleet;
  };

  it('go through relays, so that the holder sends less than a third of the bytes of the other entries', async () => {
    const fleet = await runJobs();
    expect(fleet.loggedEvents.map(({ event }) => event)).toContain('orders-relayed');
    const others = otherEntriesOf(fleet).reduce((sum, { orderBytes }) => sum + orderBytes.out, 0);
    // The holder sends about a fifth of all bytes; this bound is a quarter of them.
    expect(requireHolder(fleet).orderBytes.out).toBeLessThan(others / 3);
  });

  it('go directly while the link is not busy', async () => {
    const fleet = await createStartedFleet({
      ...RELAYING_OPTIONS,
      linkBytesPerMs: LINK_BYTES_PER_MS * 10,
    });
    const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 12 }], specBytes: 1200 });
    await advanceTime(5000);
    expect(phaseOf(fleet, job)).toBe('completed');
    expect(fleet.loggedEvents.map(({ event }) => event)).not.toContain('orders-relayed');
  });

  it('are safe when a relay is killed', async () => {
    await runJobs((fleet, turn) => {
      const [relay] = otherEntriesOf(fleet);
      if (turn === 20 && relay) fleet.kill(relay);
    });
  });

  it('are safe when a relay freezes and sends its orders 3 s late', async () => {
    await runJobs((fleet, turn) => {
      const [relay] = otherEntriesOf(fleet);
      if (turn === 20) Object.assign(relay ?? {}, { isFrozen: true });
      if (turn === 35) Object.assign(relay ?? {}, { isFrozen: false });
    });
  });

  it.each([
    ['killed', (fleet: SimFleet) => otherEntriesOf(fleet).forEach(fleet.kill)],
    [
      'frozen for good',
      (fleet: SimFleet) =>
        otherEntriesOf(fleet).forEach((relay) => Object.assign(relay, { isFrozen: true })),
    ],
    [
      'without a route to the endpoints',
      (fleet: SimFleet) =>
        otherEntriesOf(fleet).forEach(({ unreachableEndpoints }) =>
          fleet.endpoints.forEach((_, instanceId) => unreachableEndpoints.add(instanceId)),
        ),
    ],
  ])('go directly when all relays are %s at once', async (_, strike) => {
    await runJobs((fleet, turn) => {
      if (turn === 20) strike(fleet);
    });
  });

  it('of a former holder, which its relays send late, are safe beside those of the next one', async () => {
    await runJobs((fleet, turn) => {
      const others = otherEntriesOf(fleet);
      const [relay] = others;
      if (turn === 18) Object.assign(relay ?? {}, { isFrozen: true });
      if (turn === 19) fleet.kill(requireHolder(fleet));
      if (turn === 24) fleet.entries.forEach((one) => Object.assign(one, { isFrozen: false }));
    });
  });

  it('are thrown away by a relay that hears them late, as a cut held them up', async () => {
    const fleet = await runJobs((one, turn) => {
      const [relay] = otherEntriesOf(one);
      if (turn === 10) Object.assign(relay ?? {}, { isSilent: true });
      if (turn === 30) Object.assign(relay ?? {}, { isSilent: false });
    });
    const sentAtMs = new Map<string, number[]>();
    fleet.startsSent.forEach(({ task, run, atMs }) => {
      const key = `${task}/${run}`;
      sentAtMs.set(key, [...(sentAtMs.get(key) ?? []), atMs]);
    });
    const late = Array.from(sentAtMs).filter(
      ([, times]) => Math.max(...times) - Math.min(...times) > MAX_RESEND_MS,
    );
    expect(late).toEqual([]);
  });

  it('go directly to an endpoint that its relay cannot reach, so that it keeps its lease', async () => {
    const fleet = await runJobs((one, turn) => {
      if (turn !== 15) return;
      otherEntriesOf(one).forEach(({ unreachableEndpoints }) =>
        Array.from(one.endpoints.keys()).forEach((endpointId) =>
          unreachableEndpoints.add(endpointId),
        ),
      );
    });
    expect(fleet.loggedEvents.filter(({ event }) => event === 'endpoint-lease-ended')).toEqual([]);
  });
});
