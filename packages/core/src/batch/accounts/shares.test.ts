/** How an overloaded pool is shared between accounts when its queue is ordered by `owed-then-fair`. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName } from '../../shared/ids.js';
import { simulateShares, type SimulatedAccount } from './share-simulation.fixtures.js';

const FOR_MS = 20_000;
/** 8 endpoints of 8 slots run 64 tasks of 0.5 s at once, which is 32 jobs of four tasks a second. */
const ENDPOINTS = 8;

const accountsOf = (count: number, jobsPerS: number, weight: number): readonly SimulatedAccount[] =>
  Array.from({ length: count }, (_, index) => ({
    name: brand<AccountName>(`account-${index}`),
    weight,
    jobsPerS,
  }));

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

describe('an account that submits ten times its weight', () => {
  const others = accountsOf(10, 2, 4);
  const heavy: SimulatedAccount = { name: brand('heavy'), weight: 4, jobsPerS: 40 };

  const othersInTime = (accounts: readonly SimulatedAccount[]): number => {
    const inTimeRatioByAccount = simulateShares({
      queueOrder: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      durationMs: FOR_MS,
    });
    return meanOf(others.map(({ name }) => inTimeRatioByAccount.get(name) ?? 0));
  };

  it('reduces what the other accounts complete in time by less than 3 %', () => {
    const baseline = othersInTime(others);
    expect(baseline).toBeGreaterThan(0.9);
    expect(othersInTime([...others, heavy])).toBeGreaterThan(0.97 * baseline);
  });

  it('gets the capacity that other accounts leave unused, beyond its guaranteed rate', () => {
    const accounts = [...accountsOf(2, 1, 2), { ...heavy, jobsPerS: 20 }];
    const inTimeRatioByAccount = simulateShares({
      queueOrder: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      durationMs: FOR_MS,
    });
    expect(inTimeRatioByAccount.get(heavy.name)).toBeGreaterThan(4);
  });
});

describe('twenty equal accounts in an overloaded pool', () => {
  it('give the account that is served worst at least 0.9 of the mean', () => {
    const accounts = accountsOf(20, 1.6, 3);
    const inTimeRatioByAccount = simulateShares({
      queueOrder: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      durationMs: FOR_MS,
    });
    const inTimeRatios = Array.from(inTimeRatioByAccount.values());
    expect(Math.min(...inTimeRatios)).toBeGreaterThanOrEqual(0.9 * meanOf(inTimeRatios));
  });
});
