/** When a start order may be sent. */
import {
  createBatchState,
  createSharedDelayEstimator,
  createOrderWindow,
  DEFAULT_STEP,
  schedulePool,
  upsertEndpoint,
  removeEffects,
  addJob,
  applyReport,
  cancelJob,
  NO_LIMIT,
  recordStartSent,
  setAccounts,
  taskKey,
  type JobOwner,
  type BatchEffect,
  type BatchState,
  type StartOrder,
} from '@valvelatch/core/batch';
import {
  brand,
  type AccountName,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createStartOrderSender } from './start-orders.js';

const POOL = brand<PoolName>('alpha');
const ENDPOINT = brand<EndpointId>('i-1');
const DATA_CENTRE = brand<DataCentreId>('north');
const JOB = brand<JobId>('00000000000000aa');
const ACCOUNT = brand<AccountName>('north');
/** The run of each task that a holder with fence 2 starts first. */
const FIRST_RUN = 2001;
const SOLE_HOLDER_UNTIL_MS = 2400;

type SendOptions = {
  readonly mayStartIn?: (dataCentre: DataCentreId) => boolean;
  /** True if no order gets a response. */
  readonly isUnanswered?: boolean;
  readonly onSent?: (state: BatchState, mayStillSend: () => boolean) => void;
  readonly onClockRead?: (state: BatchState) => void;
  readonly owner?: JobOwner;
  readonly taskCount?: number;
};

/**
 * Places a task on an endpoint that last responded at `heardAtMs`, sends the start order at `nowMs`, and returns the
 * orders that were sent.
 */
const sendStartAt = async (
  nowMs: number,
  heardAtMs: number,
  {
    mayStartIn: isStartAllowedIn = () => true,
    isUnanswered = false,
    onSent = () => undefined,
    onClockRead = () => undefined,
    owner,
    taskCount = 1,
  }: SendOptions = {},
): Promise<readonly StartOrder[]> => {
  const state = createBatchState(2);
  state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS;
  const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
  const description = {
    endpointId: ENDPOINT,
    pool: POOL,
    hostId: null,
    address: '',
    dataCentre: DATA_CENTRE,
  };
  upsertEndpoint(state, { ...description, labels: [], capacity, isDraining: false }, 0);
  addJob(state, {
    job: {
      jobId: JOB,
      queue: brand('q'),
      pool: POOL,
      spec: '',
      steps: [{ ...DEFAULT_STEP, taskCount }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
      ...(owner ? { owner } : {}),
    },
    policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
    nowMs: 0,
    wallClockMs: 0,
  });
  const emptyReport = { running: [], ended: [], hasMoreEnds: false };
  applyReport(state, ENDPOINT, { ...emptyReport, requestedAtMs: heardAtMs, nowMs: heardAtMs });
  schedulePool(state, POOL, heardAtMs);
  const [start] = removeEffects(state) as readonly Extract<BatchEffect, { kind: 'start' }>[];
  if (!start) throw new Error('nothing was placed');
  const sent: StartOrder[] = [];
  const orders = createStartOrderSender({
    target: { endpointId: ENDPOINT, address: '', dataCentre: DATA_CENTRE },
    context: {
      state,
      orders: {
        start: async (_: unknown, order: StartOrder, __: number, mayStillSend: () => boolean) => {
          sent.push(order);
          onSent(state, mayStillSend);
          return isUnanswered
            ? Err({ verdict: 'mayHaveRun', reason: 'no-answer', detail: '' })
            : Ok({ clockMs: 1 });
        },
      } as never,
      sharedDelayEstimator: createSharedDelayEstimator(),
      orderWindow: createOrderWindow(),
      endpointLeaseMs: 8000,
      log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
      metrics: createMetrics(),
      nowMs: () => nowMs,
      isCertainlyHolder: () => true,
      isStartAllowedIn,
      requestScheduling: () => undefined,
      requestSave: () => undefined,
      onFenceLost: () => undefined,
      onReplaced: () => undefined,
      onRestarted: () => undefined,
    },
    refreshClock: async () => onClockRead(state),
    computeLeaseEnd: () => 9000,
    recordClockReading: () => undefined,
    send: (order) => order(500),
    recordError: () => undefined,
    isClosed: () => false,
  });
  await orders(start);
  return sent;
};

describe('a start order', () => {
  it('is sent while no other entry can be the holder, however long ago its endpoint responded', async () => {
    expect(await sendStartAt(2300, 100)).toHaveLength(1);
  });

  it('is sent later if its endpoint has responded recently', async () => {
    expect(await sendStartAt(2900, 2300)).toHaveLength(1);
  });

  it('is not sent if its endpoint may have restarted unnoticed while another entry became the holder', async () => {
    expect(await sendStartAt(5200, 2300)).toEqual([]);
  });

  describe('of a job that is cancelled', () => {
    const cancel = (state: BatchState): void => {
      cancelJob(state, JOB, null);
    };

    it('is not sent after the job was cancelled while the clock was read', async () => {
      expect(await sendStartAt(2300, 2300, { onClockRead: cancel })).toEqual([]);
    });

    it('is not repeated after the job was cancelled while the order was unanswered', async () => {
      const sent = await sendStartAt(2300, 2300, { isUnanswered: true, onSent: cancel });
      expect(sent).toHaveLength(1);
    });
  });

  describe('of an account whose quota falls below what it has placed', () => {
    const lowerQuota = (state: BatchState): void => {
      setAccounts(
        state,
        new Map([[ACCOUNT, { maximum: { ...NO_LIMIT, cpuMillis: 1 }, weight: 1 }]]),
      );
    };
    /** The other task of the job may have started. */
    const lowerQuotaBesideSentTask = (state: BatchState): void => {
      recordStartSent(state, ENDPOINT, { task: taskKey(JOB, 0, 0, 1), run: FIRST_RUN }, 2300);
      lowerQuota(state);
    };
    const owner = { account: ACCOUNT, maximum: NO_LIMIT };
    const options: SendOptions = { owner, taskCount: 2 };

    it('is not sent after the quota fell while the clock was read, if another task was sent', async () => {
      const sent = await sendStartAt(2300, 2300, {
        ...options,
        onClockRead: lowerQuotaBesideSentTask,
      });
      expect(sent).toEqual([]);
    });

    it('is withdrawn, so that its task waits again and its endpoint is not blamed', async () => {
      const states: BatchState[] = [];
      await sendStartAt(2300, 2300, {
        ...options,
        onClockRead: (state) => {
          lowerQuotaBesideSentTask(state);
          states.push(state);
        },
      });
      const [state] = states;
      const task = state?.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks.at(0);
      expect(task?.phase).toBe('waiting');
      expect(state?.usage.get(ACCOUNT)?.cpuMillis).toBe(DEFAULT_STEP.cpuMillis);
      expect(state?.endpoints.get(ENDPOINT)?.unansweredSinceMs).toBe(Infinity);
    });

    it('is sent if it was placed before the others that wait', async () => {
      expect(await sendStartAt(2300, 2300, { ...options, onClockRead: lowerQuota })).toHaveLength(
        1,
      );
    });

    it('is not repeated after the quota fell while the order was unanswered', async () => {
      const sent = await sendStartAt(2300, 2300, {
        ...options,
        isUnanswered: true,
        onSent: lowerQuotaBesideSentTask,
      });
      expect(sent).toHaveLength(1);
    });

    it('must not be sent in full after the quota fell while a relay asked for the spec', async () => {
      const answers: boolean[] = [];
      await sendStartAt(2300, 2300, {
        ...options,
        onSent: (state, mayStillSend) => {
          answers.push(mayStillSend());
          lowerQuotaBesideSentTask(state);
          answers.push(mayStillSend());
        },
      });
      expect(answers).toEqual([true, false]);
    });

    it('is repeated if the quota was raised again before that', async () => {
      const sent = await sendStartAt(2300, 2300, {
        ...options,
        isUnanswered: true,
        onSent: (state) => {
          lowerQuotaBesideSentTask(state);
          setAccounts(state, new Map([[ACCOUNT, { maximum: NO_LIMIT, weight: 1 }]]));
        },
      });
      expect(sent).toHaveLength(2);
    });
  });

  describe('to a data centre that is evacuated after the task was placed there', () => {
    it('is not sent', async () => {
      const checkedDataCentres: DataCentreId[] = [];
      const mayStartIn = (dataCentre: DataCentreId): boolean => {
        checkedDataCentres.push(dataCentre);
        return false;
      };
      expect(await sendStartAt(2300, 100, { mayStartIn })).toEqual([]);
      expect(checkedDataCentres).toEqual([DATA_CENTRE]);
    });

    it('is not repeated after the first one got no response', async () => {
      let isEvacuated = false;
      const sent = await sendStartAt(2300, 100, {
        isUnanswered: true,
        mayStartIn: () => !isEvacuated,
        onSent: () => {
          isEvacuated = true;
        },
      });
      expect(sent).toHaveLength(1);
      expect(await sendStartAt(2300, 100, { isUnanswered: true })).toHaveLength(2);
    });
  });
});
