import { fc, test } from '@fast-check/vitest';
import { describe, expect, it } from 'vitest';

import { parseSelector } from './parse-selector.js';
import {
  findUnmetRequirement,
  matchesSelector,
  formatRequirement,
  type Requirement,
} from './selector.js';

const parsed = (text: string) => parseSelector(text).unwrap();
const word = fc.stringMatching(/^[a-z][a-z0-9]{0,5}$/).filter((w) => w !== 'in' && w !== 'notin');
const values = fc.array(word, { minLength: 1, maxLength: 3 });
const requirement: fc.Arbitrary<Requirement> = fc.oneof(
  fc.record({ operator: fc.constant('exists' as const), key: word }),
  fc.record({ operator: fc.constant('does-not-exist' as const), key: word }),
  fc.record({ operator: fc.constant('in' as const), key: word, values }),
  fc.record({ operator: fc.constant('not-in' as const), key: word, values }),
);

describe('selectors', () => {
  describe('matching', () => {
    it('matches only if every requirement is met', () => {
      const selector = parsed('rack in (r1, r2),!dirty,pool=dispatch,tier!=old,ssd');
      expect(matchesSelector(selector, { rack: 'r2', pool: 'dispatch', ssd: 'yes' })).toBe(true);
      expect(matchesSelector(selector, { rack: 'r3', pool: 'dispatch', ssd: 'yes' })).toBe(false);
      expect(
        matchesSelector(selector, { rack: 'r1', pool: 'dispatch', ssd: 'y', dirty: 'x' }),
      ).toBe(false);
    });

    it('returns the first requirement that the labels do not meet', () => {
      const labels: Record<string, string> = { a: '1', b: 'y' };
      const unmet = findUnmetRequirement(parsed('a,b notin (x,y)'), (key) => labels[key]);
      expect(unmet && formatRequirement(unmet)).toBe('b notin (x,y)');
    });

    it('matches all labels with an empty selector', () => {
      expect(matchesSelector(parsed('  '), {})).toBe(true);
    });
  });

  describe('parsing', () => {
    test.prop([fc.array(requirement, { minLength: 1, maxLength: 4 })], { seed: 11 })(
      'parses the formatted text back to the same requirements',
      (requirements) => {
        const text = requirements.map(formatRequirement).join(',');
        expect(parsed(text).requirements).toEqual(requirements);
      },
    );

    test.prop([fc.string({ maxLength: 24 })], { seed: 12 })(
      'never throws, and reports error positions within the text',
      (text) => {
        const result = parseSelector(text);
        if (result.isErr()) {
          expect(result.error.position).toBeGreaterThanOrEqual(0);
          expect(result.error.position).toBeLessThanOrEqual(text.length);
        }
      },
    );

    it.each([
      ['rack in r1', 8, "expected '(', found 'r1'"],
      ['a=', 2, 'expected a label value, found the end'],
      ['a,,b', 2, "expected a label name, found ','"],
      ['a ~ b', 2, "unexpected '~'"],
      ['a constructor b', 2, "expected one of = == != in notin, found 'constructor'"],
    ])('reports the position of the syntax error in %j', (text, position, message) => {
      expect(parseSelector(text).unwrapErr()).toMatchObject({ position, message });
    });
  });
});
