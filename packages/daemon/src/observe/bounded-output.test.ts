/** What is left of the log where its reader does not keep up. */
import {
  createBatchState,
  endpointIdOf,
  recordRunEnd,
  upsertEndpoint,
  removeEffects,
} from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
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

  describe('of many lines at once', () => {
    const LINES = 300;
    const MOST_AT_ONCE_BYTES = 8192;

    /** The writes of lines of some 250 bytes, and of one that is longer than a write. */
    const writesOf = async (): Promise<readonly string[]> => {
      const writes: string[] = [];
      const writeBytes: WriteBytes = (bytes, done) => {
        writes.push(bytes.toString());
        setTimeout(() => done(null, bytes.length), 1);
      };
      const output = createBoundedOutput({ writeBytes });
      for (let index = 0; index < LINES; index += 1) {
        output.line(`event=run-ended index=${index} ${'ä'.repeat(110)}`, 'run-ended');
      }
      output.line(`event=wave ${'x'.repeat(MOST_AT_ONCE_BYTES)}`, 'wave');
      await vi.advanceTimersByTimeAsync(1000);
      return writes;
    };

    it('writes whole lines, no more than 8 KB of them at once', async () => {
      const writes = await writesOf();
      const short = writes.filter((text) => !text.includes('event=wave'));
      writes.forEach((text) => expect(text.endsWith('\n')).toBe(true));
      short.forEach((text) =>
        expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MOST_AT_ONCE_BYTES),
      );
      expect(writes.length).toBeLessThanOrEqual(12);
    });

    it('writes each line once and in order', async () => {
      const lines = (await writesOf()).join('').trimEnd().split('\n');
      const indices = lines.slice(0, LINES).map((line) => Number(/index=(\d+)/.exec(line)?.[1]));
      expect(indices).toEqual(Array.from({ length: LINES }, (_, index) => index));
      expect(lines).toHaveLength(LINES + 1);
    });
  });

  describe('with the ends of runs among other lines', () => {
    const OTHERS = 5000;
    /** Of a large fleet: 3,000 in a second, so 300 between two writings. */
    const ENDS_A_WRITING = 300;

    /** As long as they come: a run under the fence 999, of an endpoint that was never heard. */
    const fieldsOfEnd = (index: number) => {
      const state = createBatchState(999);
      Object.assign(state, { soleHolderUntilMs: 0 });
      const endpoint = upsertEndpoint(
        state,
        {
          endpointId: endpointIdOf('i-0123456789', 1_800_000_000_000),
          pool: brand('alpha'),
          hostId: null,
          address: '',
          dataCentre: brand(''),
          labels: [],
          capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
          isDraining: false,
        },
        0,
      );
      recordRunEnd(state, {
        endpoint,
        task: brand(`0123456789abcdef.0.1.${index}`),
        run: 999_001,
        taskWithStep: undefined,
        startedAtMs: 0,
        evidence: { cause: 'endpoint-gone', atMs: 89_000, detail: 'host-list' },
        nowMs: 99_000,
        updateTask: () => undefined,
      });
      return removeEffects(state).flatMap((one) => (one.kind === 'note' ? [one.fields] : []));
    };

    const play = async (mayWrite: boolean) => {
      const { reader, writeBytes, linesOf } = createSlowReader();
      Object.assign(reader, { isFull: !mayWrite });
      const output = createBoundedOutput({ writeBytes });
      const log = createLog({ common: { entry: 'edge-hall-mandvi-1' }, sink: output.line });
      for (let writing = 0; writing < 10; writing += 1) {
        for (let index = 0; index < OTHERS / 10; index += 1) {
          const detail = `no job named ${index.toString(16).padStart(16, '0')} was accepted`;
          log.info('request-refused', { method: 'GET', status: 410, verdict: 'notRun', detail });
        }
        for (let index = 0; index < ENDS_A_WRITING; index += 1) {
          fieldsOfEnd(index).forEach((fields) => log.info('run-ended', fields));
        }
        await vi.advanceTimersByTimeAsync(110);
      }
      reader.isFull = false;
      await vi.advanceTimersByTimeAsync(1000);
      return linesOf;
    };

    it('drops none of them in a second with 3,000 of them and 5,000 others', async () => {
      const linesOf = await play(true);
      expect(linesOf('run-ended')).toHaveLength(ENDS_A_WRITING * 10);
      expect(linesOf('log-lines-dropped')).toEqual([]);
    });

    it('drops none of 3,000 while the reader stands still for a second with 5,000 others', async () => {
      const linesOf = await play(false);
      expect(linesOf('run-ended')).toHaveLength(ENDS_A_WRITING * 10);
      expect(linesOf('log-lines-dropped')).toHaveLength(1);
      expect(linesOf('log-lines-dropped')[0]).toContain(' of=request-refused ');
    });

    it('keeps a line of them under 260 characters', async () => {
      const linesOf = await play(true);
      const longest = Math.max(...linesOf('run-ended').map(({ length }) => length));
      expect(longest).toBeLessThan(260);
    });
  });
});
