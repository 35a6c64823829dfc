/** The text of a line. */
import { describe, expect, it } from 'vitest';

import { createLog, type LogFields } from './log.js';

const lineOf = (event: string, fields: LogFields): string => {
  const lines: string[] = [];
  const log = createLog({ common: { entry: 'hall-a-1' }, sink: (line) => lines.push(line) });
  log.warn(event, fields);
  return (lines[0] ?? '').replace(/^time=\S+ /, 'time=T ');
};

describe('a line of the log', () => {
  it('has the time, the level, the event, the common fields and its own in their order', () => {
    expect(lineOf('run-ended', { task: 'a.0.0.0', run: 2001, isKnown: false })).toBe(
      'time=T level=warn event=run-ended entry=hall-a-1 task=a.0.0.0 run=2001 isKnown=false',
    );
  });

  it('leaves out undefined fields, and keeps null', () => {
    expect(lineOf('e', { soleForMs: undefined, host: null })).toBe(
      'time=T level=warn event=e entry=hall-a-1 host=null',
    );
  });

  it('quotes what is empty or holds a space, a quote or an equals sign', () => {
    expect(lineOf('e', { a: '', b: 'two words', c: 'x=1', d: 'say "no"' })).toBe(
      'time=T level=warn event=e entry=hall-a-1 a="" b="two words" c="x=1" d="say \\"no\\""',
    );
  });
});
