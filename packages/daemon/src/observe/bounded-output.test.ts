/** What is left of the log where its reader does not keep up. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createBoundedOutput, type WriteBytes } from './bounded-output.js';
import { createLog } from './log.js';

/** A reader that takes nothing for a while, as a full pipe does. */
const createSlowReader = () => {
  const taken: string[] = [];
  const reader = { isFull: true };
  const writeBytes: WriteBytes = (bytes, done) => {
    setTimeout(() => {
      if (reader.isFull) {
        done(Object.assign(new Error('the pipe is full'), { code: 'EAGAIN' }), 0);
        return;
      }
      taken.push(bytes.toString());
      done(null, bytes.length);
    }, 1);
  };
  const linesOf = (event: string): readonly string[] =>
    taken
      .join('')
      .split('\n')
      .filter((line) => line.includes(`event=${event} `));
  return { reader, writeBytes, linesOf };
};

describe('the bounded output', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('in a busy second with a reader that stands still', () => {
    const REFUSALS = 5000;

    /** The wave is reported after the refusals of the second: what waits is full of them by then. */
    const busySecond = async () => {
      const { reader, writeBytes, linesOf } = createSlowReader();
      const output = createBoundedOutput({ writeBytes });
      const log = createLog({ common: { entry: 'hall-b-2' }, sink: output.line });
      for (let index = 0; index < REFUSALS; index += 1) {
        const detail = `no job named ${index.toString(16).padStart(16, '0')} was accepted`;
        log.info('request-refused', { method: 'GET', status: 410, verdict: 'notRun', detail });
      }
      log.warn('host-list-lost', { detail: 'read ECONNRESET', hosts: 0, listAgeMs: 'never' });
      log.info('wave-reported', { wave: 1, state: 'completed', unlisted: 17 });
      await vi.advanceTimersByTimeAsync(1000);
      reader.isFull = false;
      await vi.advanceTimersByTimeAsync(1000);
      return linesOf;
    };

    it('keeps the lines of decisions, whatever was refused meanwhile', async () => {
      // With one bound of 512 KB for all lines neither of the two was left.
      const linesOf = await busySecond();
      expect(linesOf('wave-reported')).toHaveLength(1);
      expect(linesOf('host-list-lost')).toHaveLength(1);
    });

    it('counts what it dropped by the name of the event', async () => {
      const linesOf = await busySecond();
      const kept = linesOf('request-refused').length;
      expect(kept).toBeGreaterThan(400);
      expect(linesOf('log-lines-dropped')).toEqual([
        `event=log-lines-dropped of=request-refused count=${REFUSALS - kept}`,
      ]);
    });
  });
});
