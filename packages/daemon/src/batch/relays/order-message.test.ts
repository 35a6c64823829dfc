/** Guards against ends that a relay of another build or a damaged message reports in words that this build does not know. */
import type { EndedRunReport, RunEndKind, TaskKey } from '@valvelatch/core/batch';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { decodeAnswer, encodeAnswer, type ListAnswer } from './order-message.js';

const TASK = '5c0e7a21d94b36f8.0.1.17' as TaskKey;
/** The kinds of ends that the build before this one reads from its codes; it reads any other code as `failed`. */
const KINDS_OF_EARLIER_BUILD = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'];

const endOf = (kind: RunEndKind): EndedRunReport => ({
  number: 58,
  task: TASK,
  run: 2001,
  kind,
  checkpoint: 'saved',
});

const encodeEnd = (kind: RunEndKind): readonly unknown[] =>
  encodeAnswer(Ok({ clockMs: 5, running: [], ended: [endOf(kind)], hasMoreEnds: false }));

/** Encodes an answer with one end whose kind is the given value instead of a code. */
const withKind = (kind: unknown): readonly unknown[] => [
  1,
  5,
  [],
  [[58, TASK, 2001, kind, 'saved']],
  false,
];

describe('an incomplete list in the answer of a relay', () => {
  const decoded = (answer: Partial<ListAnswer>): ListAnswer =>
    decodeAnswer(
      encodeAnswer(Ok({ clockMs: 5, running: [], ended: [], hasMoreEnds: false, ...answer })),
    ).unwrap();

  it('tells unreadable rows from ends that did not fit', () => {
    const ended = [endOf('done')];
    const truncated = { ended, hasMoreEnds: true };
    expect(decoded(truncated).hasUnreadableRows).toBeUndefined();
    expect(decoded({ ...truncated, hasUnreadableRows: true }).hasUnreadableRows).toBe(true);
  });

  it('has unreadable rows if a relay of the build before sends it without any end', () => {
    expect(decodeAnswer([1, 5, [], [], true]).unwrap().hasUnreadableRows).toBe(true);
    expect(decodeAnswer([1, 5, [], [], false]).unwrap().hasUnreadableRows).toBeUndefined();
  });
});

describe('the ends in the answer of a relay', () => {
  it.each(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const)(
    'keep how they ended: %s',
    (kind) => {
      expect(decodeAnswer(encodeEnd(kind)).unwrap().ended).toEqual([endOf(kind)]);
    },
  );

  it.each([7, 255, -1, 1.5, null, undefined, 'failed', '1', 'length', 'map', {}, [], NaN])(
    'are listed, and not as failed, if the code is %j',
    (code) => {
      expect(decodeAnswer(withKind(code)).unwrap().ended).toEqual([endOf('unknown')]);
    },
  );

  it('do not count as failed at a holder of either build, if how they ended is not known', () => {
    const [, , , ended] = encodeEnd('unknown') as readonly (readonly (readonly unknown[])[])[];
    const code = ended?.[0]?.[3] as number;
    expect(KINDS_OF_EARLIER_BUILD[code] ?? 'failed').toBe('stopped');
    expect(decodeAnswer(encodeEnd('unknown')).unwrap().ended).toEqual([endOf('stopped')]);
  });
});
