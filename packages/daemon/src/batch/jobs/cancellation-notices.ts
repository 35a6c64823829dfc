/**
 * Notices to the control holder of cancellations that this entry has written. A notice is repeated until a holder has
 * confirmed it: the holder may be recovering or unreachable, may change, and may read the table's changes late.
 */
import type { Caller } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

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

type Notice = { readonly jobId: JobId; readonly caller: Caller; readonly sinceMs: number };

export type CancellationNoticesOptions = {
  readonly control: Pick<ControlClient, 'notifyCancelled'>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
};

export type CancellationNotices = {
  /** Sends a notice, which is repeated if it is not confirmed; resolves to true if the holder has confirmed it. */
  readonly send: (jobId: JobId, caller: Caller) => Promise<boolean>;
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

  const attempt = async (key: string, { jobId, caller }: Notice): Promise<boolean> => {
    const isConfirmed = await control.notifyCancelled(jobId, caller);
    if (isConfirmed) unconfirmed.delete(key);
    return isConfirmed;
  };

  const removeExpired = (): void =>
    unconfirmed.forEach(({ sinceMs }, key) => {
      if (nowMs() - sinceMs > MAX_NOTICE_AGE_MS) unconfirmed.delete(key);
    });

  return {
    send: (jobId, caller) => {
      const key = batchKey.cancel(jobId, caller);
      const notice = unconfirmed.get(key) ?? { jobId, caller, sinceMs: nowMs() };
      unconfirmed.set(key, notice);
      const [oldestKey] = unconfirmed.keys();
      if (unconfirmed.size > MAX_NOTICES && oldestKey !== undefined) unconfirmed.delete(oldestKey);
      return attempt(key, notice);
    },
    repeat: async () => {
      removeExpired();
      const round = Array.from(unconfirmed).slice(0, MAX_NOTICES_PER_ROUND);
      await Promise.all(round.map((one) => attempt(...one)));
    },
  };
};
