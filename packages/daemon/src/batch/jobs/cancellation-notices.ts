/**
 * Notices to the control holder of cancellations that this entry has written. A notice is repeated until the holder has
 * confirmed it, and sent again to the next one: a holder may be recovering or unreachable, and may read the table late.
 */
import type { Caller } from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { EntryId, JobId } from '@valvelatch/core/shared/ids';

import { sleep } from '../../shared/sleep.js';
import { batchKey } from '../keys.js';
import type { ControlClient } from './control-client.js';

/** Pause between two rounds of notices, in milliseconds. */
export const NOTICE_REPEAT_INTERVAL_MS = 250;
/** A notice is given up after this time. It is longer than the table's readings may be behind. */
const MAX_NOTICE_AGE_MS = 15_000;
/** At most this many notices are kept; then the oldest is given up. */
const MAX_NOTICES = 2000;
/** At most this many notices are repeated in one round. */
const MAX_NOTICES_PER_ROUND = 100;

/** Pause between two checks whether a notice has been confirmed. */
const CONFIRMATION_CHECK_MS = 50;

type Notice = {
  readonly jobId: JobId;
  readonly caller: Caller;
  readonly sinceMs: number;
  /** The holder that has confirmed it last; undefined if none has. */
  readonly confirmedBy: EntryId | null | undefined;
};

export type CancellationNoticesOptions = {
  readonly control: Pick<ControlClient, 'holder' | 'notifyCancelled'>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
};

export type CancellationNotices = {
  /**
   * Sends a notice, which is repeated until it is confirmed. Resolves to true once the holder has confirmed it, or to false
   * at `untilMs` on the monotonic clock, in milliseconds.
   */
  readonly send: (jobId: JobId, caller: Caller, untilMs: number) => Promise<boolean>;
  /** Repeats the notices that the present holder has not confirmed. */
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
  const notices = new Map<string, Notice>();

  const attempt = async (notice: Notice): Promise<void> => {
    const confirmedBy = control.holder();
    const isConfirmed = await control.notifyCancelled(notice.jobId, notice.caller);
    if (isConfirmed) change(notice, { confirmedBy });
  };

  const waitForConfirmation = async (notice: Notice, untilMs: number): Promise<boolean> => {
    while (notice.confirmedBy === undefined && nowMs() < untilMs)
      await sleep(CONFIRMATION_CHECK_MS);
    return notice.confirmedBy !== undefined;
  };

  const isOpen = ({ confirmedBy }: Notice): boolean =>
    confirmedBy === undefined || confirmedBy !== control.holder();

  const removeExpired = (): void =>
    notices.forEach(({ sinceMs }, key) => {
      if (nowMs() - sinceMs > MAX_NOTICE_AGE_MS) notices.delete(key);
    });

  return {
    send: async (jobId, caller, untilMs) => {
      const key = batchKey.cancel(jobId, caller);
      const created = { jobId, caller, sinceMs: nowMs(), confirmedBy: undefined };
      const notice = notices.get(key) ?? created;
      notices.set(key, notice);
      const [oldestKey] = notices.keys();
      if (notices.size > MAX_NOTICES && oldestKey !== undefined) notices.delete(oldestKey);
      await attempt(notice);
      return waitForConfirmation(notice, untilMs);
    },
    repeat: async () => {
      removeExpired();
      const open = Array.from(notices.values()).filter(isOpen);
      await Promise.all(open.slice(0, MAX_NOTICES_PER_ROUND).map(attempt));
    },
  };
};
