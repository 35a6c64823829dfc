import { describe, expect, it } from 'vitest';

import { nextFeedScope, type FeedHistory } from './feed-scope.js';

const STATE_BYTES = 60_000;

const past = (given: Partial<FeedHistory> = {}): FeedHistory => ({
  writePattern: 'state',
  hasPosition: true,
  hasLastRequestFailed: false,
  lastResponseBytes: 0,
  allRowsBytes: STATE_BYTES,
  ...given,
});

describe('scope of the next request to a table', () => {
  it('the first request asks for all rows, for both kinds of tables', () => {
    expect(nextFeedScope(past({ hasPosition: false }))).toBe('whole');
    expect(nextFeedScope(past({ writePattern: 'log', hasPosition: false }))).toBe('whole');
  });

  describe('for a table of few rows that are overwritten repeatedly', () => {
    it('requests changes while responses arrive and are small', () => {
      expect(nextFeedScope(past())).toBe('changes');
      expect(nextFeedScope(past({ lastResponseBytes: STATE_BYTES }))).toBe('changes');
    });

    it('requests all rows once a response contains two copies, as rows change faster than they are read', () => {
      expect(nextFeedScope(past({ lastResponseBytes: 2 * STATE_BYTES }))).toBe('whole');
    });

    it('requests all rows after a request without a response', () => {
      expect(nextFeedScope(past({ hasLastRequestFailed: true }))).toBe('whole');
    });
  });

  it('requests changes of a growing table, also after a failed request', () => {
    const grown = {
      writePattern: 'log',
      hasLastRequestFailed: true,
      lastResponseBytes: 5 * STATE_BYTES,
    } as const;
    expect(nextFeedScope(past(grown))).toBe('changes');
  });
});
