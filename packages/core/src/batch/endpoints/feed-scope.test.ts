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

describe('what a follower of a table asks for', () => {
  it('is all rows at first, whatever they are', () => {
    expect(nextFeedScope(past({ hasPosition: false }))).toBe('whole');
    expect(nextFeedScope(past({ use: 'log', hasPosition: false }))).toBe('whole');
  });

  describe('where few rows are written again and again', () => {
    it('is what changes, while each answer comes and holds little', () => {
      expect(nextFeedScope(past())).toBe('changes');
      expect(nextFeedScope(past({ answerBytes: STATE_BYTES }))).toBe('changes');
    });

    it('is all rows once an answer holds two versions: changes come faster than they are read', () => {
      expect(nextFeedScope(past({ answerBytes: 2 * STATE_BYTES }))).toBe('whole');
    });

    it('is all rows after a question without an answer', () => {
      expect(nextFeedScope(past({ hasFailed: true }))).toBe('whole');
    });
  });

  it('is what changes of a table that only grows, also after a failure', () => {
    const grown = { use: 'log', hasFailed: true, answerBytes: 5 * STATE_BYTES } as const;
    expect(nextFeedScope(past(grown))).toBe('changes');
  });
});
