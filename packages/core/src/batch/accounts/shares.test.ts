/** What accounts get of a full pool, by the way in which the queue is ordered. */
import { describe, expect, it } from 'vitest';

import { brand, type AccountName } from '../../shared/ids.js';
import { playShares, type PlayedAccount } from './share-play.fixtures.js';

const FOR_MS = 20_000;
/** 64 places for tasks of half a second: 32 jobs of four tasks a second. */
const ENDPOINTS = 8;

const accountsOf = (count: number, jobsPerS: number, weight: number): readonly PlayedAccount[] =>
  Array.from({ length: count }, (_, index) => ({
    name: brand<AccountName>(`account-${index}`),
    weight,
    jobsPerS,
  }));

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, one) => sum + one, 0) / values.length;

describe('an account that hands in ten times its weight', () => {
  const others = accountsOf(10, 2, 4);
  const heavy: PlayedAccount = { name: brand('heavy'), weight: 4, jobsPerS: 40 };

  const othersEarn = (accounts: readonly PlayedAccount[]): number => {
    const played = playShares({
      way: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      forMs: FOR_MS,
    });
    return meanOf(others.map(({ name }) => played.get(name) ?? 0));
  };

  it('costs the others under 3 % of what they earn without it', () => {
    const without = othersEarn(others);
    expect(without).toBeGreaterThan(0.9);
    expect(othersEarn([...others, heavy])).toBeGreaterThan(0.97 * without);
  });

  it('gets what nobody else wants, beyond what it is owed', () => {
    const accounts = [...accountsOf(2, 1, 2), { ...heavy, jobsPerS: 20 }];
    const played = playShares({
      way: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      forMs: FOR_MS,
    });
    expect(played.get(heavy.name)).toBeGreaterThan(4);
  });
});

describe('twenty equal accounts in a full pool', () => {
  it('leave the worst-served at least 0.9 of the mean', () => {
    const accounts = accountsOf(20, 1.6, 3);
    const played = playShares({
      way: 'owed-then-fair',
      accounts,
      endpoints: ENDPOINTS,
      forMs: FOR_MS,
    });
    const earned = Array.from(played.values());
    expect(Math.min(...earned)).toBeGreaterThanOrEqual(0.9 * meanOf(earned));
  });
});
