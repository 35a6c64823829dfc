/** What an entry asks of the holder of control while that is another entry. */
import type { BatchJobRow } from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { sleep } from '../../shared/sleep.js';
import type { AcceptOutcome } from '../jobs/accept-queue.js';
import type { Peers } from '../entry/peers.js';

/** How long the holder is waited for before the rows are read instead. */
const ASK_MS = 500;
/** A slow table takes well over a second for what the holder writes for others. */
const ACCEPT_ASK_MS = 2200;
/** Entries say something on each link every 0.5 s. */
export const HOLDER_SILENT_MS = 1400;
const SILENCE_LOOK_MS = 100;
/** A holder that did not answer in time is not asked to accept for so long; rows are written here. */
const PASS_OVER_MS = 1500;

/**
 * A holder that the table does not answer is not asked again for so long, unless the table answers
 * this entry: longer than the two looks of a second by which a balancer sends clients elsewhere.
 */
const AWAY_FOR_MS = 3000;

/** Methods of the mesh that entries answer about control. */
export const CONTROL_METHOD = {
  phase: 'phase',
  waiting: 'waiting',
  accept: 'accept',
  taken: 'taken',
  cancelled: 'cancelled',
  willing: 'willing',
  refused: 'refused',
  resigned: 'resigned',
} as const;

export type HolderClientOptions = {
  readonly self: EntryId;
  readonly peers: () => Peers | undefined;
  readonly holder: () => EntryId | null;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

export type HolderClient = {
  /** Asks the holder; undefined if it is not known or does not answer. */
  readonly ask: (method: string, payload: unknown, ms?: number) => Promise<unknown>;
  /** Has the holder write a job; null if it must be written here. */
  readonly accept: (row: BatchJobRow) => Promise<AcceptOutcome | null>;
  /** True for a while after the holder said that the table does not answer it. */
  readonly isAway: () => boolean;
};

/**
 * Builds the client of the holder.
 *
 * @param options - Who holds control, and the mesh.
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
  let passedOverUntilMs = 0;
  let awayUntilMs = 0;

  const known = (): EntryId | undefined => {
    const entryId = holder();
    const isOther = entryId !== null && entryId !== self;
    return isOther && peers()?.knows(entryId) ? entryId : undefined;
  };

  const ask: HolderClient['ask'] = async (method, payload, ms = ASK_MS) => {
    const entryId = known();
    if (entryId === undefined) return undefined;
    try {
      return await peers()?.ask(entryId, method, payload, ms);
    } catch (error) {
      metrics.count('holder_unanswered');
      log.debug('holder-unanswered', { holder: entryId, method, detail: String(error) });
      return undefined;
    }
  };

  /** Resolves once a holder that had a link is silent: a slow table is waited for, a dead entry not. */
  const holderFallsSilent = async (): Promise<undefined> => {
    const untilMs = nowMs() + ACCEPT_ASK_MS;
    while (nowMs() < untilMs) {
      await sleep(SILENCE_LOOK_MS);
      const entryId = holder();
      const silentMs = entryId === null ? 0 : (peers()?.silentForMs(entryId) ?? 0);
      if (silentMs > HOLDER_SILENT_MS && silentMs < Infinity) return undefined;
    }
    return undefined;
  };

  return {
    ask,
    isAway: () => nowMs() < awayUntilMs,
    accept: async (row) => {
      if (nowMs() < passedOverUntilMs || known() === undefined) return null;
      const answer = await Promise.race([
        ask(CONTROL_METHOD.accept, row, ACCEPT_ASK_MS),
        holderFallsSilent(),
      ]);
      if (answer !== undefined) {
        const outcome = answer as AcceptOutcome | null;
        if (outcome?.kind === 'away') awayUntilMs = nowMs() + AWAY_FOR_MS;
        return outcome;
      }
      passedOverUntilMs = nowMs() + PASS_OVER_MS;
      // It was sent, whoever holds control by now.
      return { kind: 'unheard' };
    },
  };
};
