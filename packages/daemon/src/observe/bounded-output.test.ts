/** Which log lines are kept when the reader of the log is too slow. */
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

/** A reader that accepts nothing while `isFull` is set, as a full pipe does. */
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

describe('bounded output', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('in a busy second with a blocked reader', () => {
    const REFUSALS = 5000;

    /** The wave is reported after the refusals, when the buffer is already full of them. */
    const simulateBusySecond = async () => {
      const { reader, writeBytes, linesOf } = createSlowReader();
      const output = createBoundedOutput({ writeBytes });
      const log = createLog({ commonFields: { entry: 'hall-b-2' }, sink: output.writeLine });
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

    it('keeps the lines of decisions despite a burst of refusals', async () => {
      // With a common limit of 512 KB for all events, both lines were dropped.
      const linesOf = await simulateBusySecond();
      expect(linesOf('wave-reported')).toHaveLength(1);
      expect(linesOf('host-list-lost')).toHaveLength(1);
    });

    it('reports the number of dropped lines by event name', async () => {
      const linesOf = await simulateBusySecond();
      const kept = linesOf('request-refused').length;
      expect(kept).toBeGreaterThan(400);
      expect(linesOf('log-lines-dropped')).toEqual([
        `event=log-lines-dropped of=request-refused count=${REFUSALS - kept}`,
      ]);
    });
  });

  describe('with many lines at once', () => {
    const LINES = 300;
    const MAX_WRITE_BYTES = 8192;

    /**
     * Returns the writes for lines of some 250 bytes and for one line that exceeds the maximum
     * write.
     */
    const writeManyLines = async (): Promise<readonly string[]> => {
      const writes: string[] = [];
      const writeBytes: WriteBytes = (bytes, done) => {
        writes.push(bytes.toString());
        setTimeout(() => done(null, bytes.length), 1);
      };
      const output = createBoundedOutput({ writeBytes });
      for (let index = 0; index < LINES; index += 1) {
        output.writeLine(`event=run-ended index=${index} ${'ä'.repeat(110)}`, 'run-ended');
      }
      output.writeLine(`event=wave ${'x'.repeat(MAX_WRITE_BYTES)}`, 'wave');
      await vi.advanceTimersByTimeAsync(1000);
      return writes;
    };

    it('writes whole lines, at most 8 KB at once', async () => {
      const writes = await writeManyLines();
      const short = writes.filter((text) => !text.includes('event=wave'));
      writes.forEach((text) => expect(text.endsWith('\n')).toBe(true));
      short.forEach((text) => expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MAX_WRITE_BYTES));
      expect(writes.length).toBeLessThanOrEqual(12);
    });

    it('writes each line once and in order', async () => {
      const lines = (await writeManyLines()).join('').trimEnd().split('\n');
      const indices = lines.slice(0, LINES).map((line) => Number(/index=(\d+)/.exec(line)?.[1]));
      expect(indices).toEqual(Array.from({ length: LINES }, (_, index) => index));
      expect(lines).toHaveLength(LINES + 1);
    });
  });

  describe('with run-ended lines among other lines', () => {
    const OTHER_LINES = 5000;
    /** A large fleet ends 3,000 runs per second, that is 300 between two writes. */
    const ENDS_PER_WRITE = 300;

    /** The longest fields that occur: a run under fence 999 of an endpoint that never reported. */
    const createRunEndFields = (index: number) => {
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

    const runLoad = async (mayWrite: boolean) => {
      const { reader, writeBytes, linesOf } = createSlowReader();
      Object.assign(reader, { isFull: !mayWrite });
      const output = createBoundedOutput({ writeBytes });
      const log = createLog({
        commonFields: { entry: 'edge-hall-mandvi-1' },
        sink: output.writeLine,
      });
      for (let writing = 0; writing < 10; writing += 1) {
        for (let index = 0; index < OTHER_LINES / 10; index += 1) {
          const detail = `no job named ${index.toString(16).padStart(16, '0')} was accepted`;
          log.info('request-refused', { method: 'GET', status: 410, verdict: 'notRun', detail });
        }
        for (let index = 0; index < ENDS_PER_WRITE; index += 1) {
          createRunEndFields(index).forEach((fields) => log.info('run-ended', fields));
        }
        await vi.advanceTimersByTimeAsync(110);
      }
      reader.isFull = false;
      await vi.advanceTimersByTimeAsync(1000);
      return linesOf;
    };

    it('drops no run-ended line in a second with 3,000 of them and 5,000 others', async () => {
      const linesOf = await runLoad(true);
      expect(linesOf('run-ended')).toHaveLength(ENDS_PER_WRITE * 10);
      expect(linesOf('log-lines-dropped')).toEqual([]);
    });

    it('drops none of 3,000 run-ended lines while the reader is blocked for a second with 5,000 others', async () => {
      const linesOf = await runLoad(false);
      expect(linesOf('run-ended')).toHaveLength(ENDS_PER_WRITE * 10);
      expect(linesOf('log-lines-dropped')).toHaveLength(1);
      expect(linesOf('log-lines-dropped')[0]).toContain(' of=request-refused ');
    });

    it('keeps each run-ended line under 260 characters', async () => {
      const linesOf = await runLoad(true);
      const longest = Math.max(...linesOf('run-ended').map(({ length }) => length));
      expect(longest).toBeLessThan(260);
    });
  });
});
