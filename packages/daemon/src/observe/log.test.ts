/** The text format of log lines. */
import { describe, expect, it } from 'vitest';

import { createLog, type LogFields } from './log.js';

const formatLine = (event: string, fields: LogFields): string => {
  const lines: string[] = [];
  const log = createLog({ commonFields: { entry: 'hall-a-1' }, sink: (line) => lines.push(line) });
  log.warn(event, fields);
  return (lines[0] ?? '').replace(/^time=\S+ /, 'time=T ');
};

describe('log line', () => {
  it('contains time, level, event, common fields and own fields, in this order', () => {
    expect(formatLine('run-ended', { task: 'a.0.0.0', run: 2001, isKnown: false })).toBe(
      'time=T level=warn event=run-ended entry=hall-a-1 task=a.0.0.0 run=2001 isKnown=false',
    );
  });

  it('omits undefined fields and keeps null', () => {
    expect(formatLine('e', { soleForMs: undefined, host: null })).toBe(
      'time=T level=warn event=e entry=hall-a-1 host=null',
    );
  });

  it('quotes values that are empty or contain a space, a quote or an equals sign', () => {
    expect(formatLine('e', { a: '', b: 'two words', c: 'x=1', d: 'say "no"' })).toBe(
      'time=T level=warn event=e entry=hall-a-1 a="" b="two words" c="x=1" d="say \\"no\\""',
    );
  });
});
