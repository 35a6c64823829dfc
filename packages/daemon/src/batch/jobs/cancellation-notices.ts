/**
 * Notices to the control holder of cancellations that this entry has written. A notice is repeated until a holder has
 * confirmed it: the holder may be recovering or unreachable, may change, and may read the table's changes late.
 */
import type { Caller } from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { JobId } from '@valvelatch/core/shared/ids';

import { sleep } from '../../shared/sleep.js';
import { batchKey } from '../keys.js';
import type { ControlClient } from './control-client.js';

/** Pause between two rounds of notices, in milliseconds. */
export const NOTICE_REPEAT_INTERVAL_MS = 250;
/** A notice is given up after this time: by then every holder has read the cancellation in the table. */
const MAX_NOTICE_AGE_MS = 15_000;
/** At most this many notices wait to be confirmed; then the oldest is given up. */
const MAX_NOTICES = 2000;
/** At most this many notices are repeated in one round. */
const MAX_NOTICES_PER_ROUND = 100;

/** Pause between two checks whether a notice has been confirmed. */
const CONFIRMATION_CHECK_MS = 50;

type Notice = {
  readonly jobId: JobId;
  readonly caller: Caller;
  readonly sinceMs: number;
  readonly isConfirmed: boolean;
};

export type CancellationNoticesOptions = {
  readonly control: Pick<ControlClient, 'notifyCancelled'>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
};

export type CancellationNotices = {
  /**
   * Sends a notice, which is repeated until it is confirmed. Resolves to true once the holder has confirmed it, or to false
   * at `untilMs` on the monotonic clock, in milliseconds.
   */
  readonly send: (jobId: JobId, caller: Caller, untilMs: number) => Promise<boolean>;
  /** Repeats the notices that no holder has confirmed. */
  readonly repeat: () => Promise<void>;
};

/**
 * Creates the notices of one entry.
 *
 * @param options - The client of the control holder, and the clock.
 * @returns The notices.
 */
export const createCancellationNotices = ({
  control,
  nowMs,
}: CancellationNoticesOptions): CancellationNotices => {
  const unconfirmed = new Map<string, Notice>();

  const attempt = async (key: string, notice: Notice): Promise<void> => {
    const isConfirmed = await control.notifyCancelled(notice.jobId, notice.caller);
    if (!isConfirmed) return;
    change(notice, { isConfirmed });
    unconfirmed.delete(key);
  };

  const waitForConfirmation = async (notice: Notice, untilMs: number): Promise<boolean> => {
    while (!notice.isConfirmed && nowMs() < untilMs) await sleep(CONFIRMATION_CHECK_MS);
    return notice.isConfirmed;
  };

  const removeExpired = (): void =>
    unconfirmed.forEach(({ sinceMs }, key) => {
      if (nowMs() - sinceMs > MAX_NOTICE_AGE_MS) unconfirmed.delete(key);
    });

  return {
    send: async (jobId, caller, untilMs) => {
      const key = batchKey.cancel(jobId, caller);
      const created = { jobId, caller, sinceMs: nowMs(), isConfirmed: false };
      const notice = unconfirmed.get(key) ?? created;
      unconfirmed.set(key, notice);
      const [oldestKey] = unconfirmed.keys();
      if (unconfirmed.size > MAX_NOTICES && oldestKey !== undefined) unconfirmed.delete(oldestKey);
      await attempt(key, notice);
      return waitForConfirmation(notice, untilMs);
    },
    repeat: async () => {
      removeExpired();
      const round = Array.from(unconfirmed).slice(0, MAX_NOTICES_PER_ROUND);
      await Promise.all(round.map((one) => attempt(...one)));
    },
  };
};
