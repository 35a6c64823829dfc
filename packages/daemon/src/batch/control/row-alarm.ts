/** Alarms about rows that only entries write and that cannot be read. */
import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

export type RowAlarmOptions = {
  /** The key of the row. */
  readonly key: string;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * Creates the alarm of one row. Each call counts in `own_rows_unreadable`; the first one is logged, since a row is read
 * again and again until an operator has repaired it.
 *
 * @param options - The row, and what is told.
 * @returns The function that is called at each read of the row that fails.
 */
export const createRowAlarm = ({ key, log, metrics }: RowAlarmOptions): (() => void) => {
  let isLogged = false;
  return () => {
    metrics.count('own_rows_unreadable');
    if (isLogged) return;
    isLogged = true;
    log.error('own-row-unreadable', { key });
  };
};
