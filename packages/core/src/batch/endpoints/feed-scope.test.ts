import { describe, expect, it } from 'vitest';

import { nextFeedScope, type FeedPast } from './feed-scope.js';

const STATE_BYTES = 60_000;

const past = (given: Partial<FeedPast> = {}): FeedPast => ({
  use: 'state',
  hasPosition: true,
  hasFailed: false,
  answerBytes: 0,
  stateBytes: STATE_BYTES,
  ...given,
});

describe('scope of the next request to a table', () => {
  it('the first request asks for all rows, for both kinds of tables', () => {
    expect(nextFeedScope(past({ hasPosition: false }))).toBe('whole');
    expect(nextFeedScope(past({ use: 'log', hasPosition: false }))).toBe('whole');
  });

  describe('for a table of few rows that are overwritten repeatedly', () => {
    it('requests changes while responses arrive and are small', () => {
      expect(nextFeedScope(past())).toBe('changes');
      expect(nextFeedScope(past({ answerBytes: STATE_BYTES }))).toBe('changes');
    });

    it('requests all rows once a response contains two copies, as rows change faster than they are read', () => {
      expect(nextFeedScope(past({ answerBytes: 2 * STATE_BYTES }))).toBe('whole');
    });

    it('requests all rows after a request without a response', () => {
      expect(nextFeedScope(past({ hasFailed: true }))).toBe('whole');
    });
  });

  it('requests changes of a growing table, also after a failed request', () => {
    const grown = { use: 'log', hasFailed: true, answerBytes: 5 * STATE_BYTES } as const;
    expect(nextFeedScope(past(grown))).toBe('changes');
  });
});
