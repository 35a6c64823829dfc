/** Client for calls to the control holder while that is another entry. */
import type { BatchJobRow } from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { sleep } from '../../shared/sleep.js';
import type { AcceptOutcome } from '../jobs/accept-queue.js';
import type { Peers } from '../entry/peers.js';

/** Default time limit of a call to the holder; after it the caller reads the rows instead. */
const DEFAULT_ASK_TIMEOUT_MS = 500;
/** Time limit for having the holder write a job: with a slow table such a write takes well over a second. */
const ACCEPT_TIMEOUT_MS = 2200;
/** A holder is considered silent after this time without a message. Entries send one on each link every 0.5 s. */
export const HOLDER_SILENCE_LIMIT_MS = 1400;
const SILENCE_CHECK_INTERVAL_MS = 100;
/** After a holder did not answer in time, this entry writes the rows of new jobs itself for this long. */
const SKIP_HOLDER_MS = 1500;

/**
 * How long a holder that reported the table as unavailable to it is treated so. In this time it is asked
 * again only if the table answers this entry. Longer than the two checks, one second apart, after which
 * a load balancer sends clients to other entries.
 */
const TABLE_UNAVAILABLE_FOR_MS = 3000;

/**
 * Pause between two questions whether a holder that recovers is ready. Each entry asks, so that shorter pauses would cost a
 * weak holder a tenth of its processor.
 */
const READY_CHECK_INTERVAL_MS = 250;

/** Mesh methods through which entries call each other about control. */
export const CONTROL_METHOD = {
  phase: 'phase',
  waiting: 'waiting',
  accept: 'accept',
  ready: 'ready',
  taken: 'taken',
  cancelled: 'cancelled',
  willing: 'willing',
  refused: 'refused',
  resigned: 'resigned',
} as const;

export type HolderClientOptions = {
  readonly self: EntryId;
  /** Undefined while the mesh is not open. */
  readonly peers: () => Peers | undefined;
  /** The control holder; null if nobody holds control. */
  readonly holder: () => EntryId | null;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

export type HolderClient = {
  /** Calls the holder; resolves to undefined if it is unknown or does not answer within `ms`. */
  readonly ask: (method: string, payload: unknown, ms?: number) => Promise<unknown>;
  /**
   * Has the holder write a job; null if it cannot, as while it recovers. Nothing is sent to a holder that is known to
   * recover: rows that return to it after an outage would take the link and the processor that it recovers with.
   */
  readonly accept: (row: BatchJobRow) => Promise<AcceptOutcome | null>;
  /** Tells the holder about a job that this entry wrote. A holder that recovers reads its row anyway. */
  readonly notifyWritten: (writtenJob: unknown) => void;
  /**
   * Tells the holder about a cancellation; resolves to the phase of the job, or to `unknown`. A holder that is known to
   * recover reads the cancellation's row anyway, and is sent nothing.
   */
  readonly notifyCancelled: (cancellation: unknown) => Promise<unknown>;
  /** True for a few seconds after the holder reported that the table does not answer it. */
  readonly isTableUnavailableToHolder: () => boolean;
};

/**
 * Builds the client for the control holder.
 *
 * @param options - Lookups for the current holder and for the mesh.
 * @returns The client.
 */
export const createHolderClient = ({
  self,
  peers,
  holder,
  log,
  metrics,
  nowMs,
}: HolderClientOptions): HolderClient => {
  let holderSkippedUntilMs = 0;
  let tableUnavailableUntilMs = 0;
  /** The holder that is known to recover, until it is ready or another entry holds control. */
  let recoveringHolder: EntryId | undefined;

  /** The holder, if it is another entry that the mesh knows. */
  const findReachableHolder = (): EntryId | undefined => {
    const entryId = holder();
    const isOther = entryId !== null && entryId !== self;
    return isOther && peers()?.has(entryId) ? entryId : undefined;
  };

  const ask: HolderClient['ask'] = async (method, payload, ms = DEFAULT_ASK_TIMEOUT_MS) => {
    const entryId = findReachableHolder();
    if (entryId === undefined) return undefined;
    try {
      return await peers()?.ask(entryId, method, payload, ms);
    } catch (error) {
      metrics.count('holder_unanswered');
      log.debug('holder-unanswered', { holder: entryId, method, detail: String(error) });
      return undefined;
    }
  };

  /**
   * Resolves once a holder that had a link to this entry is silent, or after the time limit. So callers
   * wait for a slow table, and not for a dead entry.
   */
  const waitForHolderSilence = async (): Promise<undefined> => {
    const untilMs = nowMs() + ACCEPT_TIMEOUT_MS;
    while (nowMs() < untilMs) {
      await sleep(SILENCE_CHECK_INTERVAL_MS);
      const entryId = holder();
      const silentMs = entryId === null ? 0 : (peers()?.silentForMs(entryId) ?? 0);
      if (silentMs > HOLDER_SILENCE_LIMIT_MS && silentMs < Infinity) return undefined;
    }
    return undefined;
  };

  const isHolderRecovering = (): boolean =>
    recoveringHolder !== undefined && recoveringHolder === holder();

  /** Asks the holder until it is ready. One that does not answer is treated as ready, so that it is asked as usual. */
  const waitUntilReady = async (entryId: EntryId): Promise<void> => {
    if (recoveringHolder === entryId) return;
    recoveringHolder = entryId;
    let isReady = false;
    while (!isReady && recoveringHolder === entryId && isHolderRecovering()) {
      await sleep(READY_CHECK_INTERVAL_MS);
      isReady = (await ask(CONTROL_METHOD.ready, null)) !== false;
    }
    if (recoveringHolder === entryId) recoveringHolder = undefined;
  };

  return {
    ask,
    notifyWritten: (writtenJob) => {
      if (!isHolderRecovering()) void ask(CONTROL_METHOD.taken, writtenJob);
    },
    notifyCancelled: async (cancellation) => {
      const entryId = findReachableHolder();
      if (entryId === undefined || isHolderRecovering()) return undefined;
      const answer = await ask(CONTROL_METHOD.cancelled, cancellation);
      if (answer === null) void waitUntilReady(entryId);
      return answer;
    },
    isTableUnavailableToHolder: () => nowMs() < tableUnavailableUntilMs,
    accept: async (row) => {
      const entryId = findReachableHolder();
      if (nowMs() < holderSkippedUntilMs || entryId === undefined || isHolderRecovering())
        return null;
      const answer = await Promise.race([
        ask(CONTROL_METHOD.accept, row, ACCEPT_TIMEOUT_MS),
        waitForHolderSilence(),
      ]);
      if (answer !== undefined) {
        const outcome = answer as AcceptOutcome | null;
        if (outcome === null) void waitUntilReady(entryId);
        if (outcome?.kind === 'away') tableUnavailableUntilMs = nowMs() + TABLE_UNAVAILABLE_FOR_MS;
        return outcome;
      }
      holderSkippedUntilMs = nowMs() + SKIP_HOLDER_MS;
      // The job was sent, so it may have been written, even if another entry holds control by now.
      return { kind: 'unheard' };
    },
  };
};
