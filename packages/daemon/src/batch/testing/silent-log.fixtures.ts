/** A log for simulations whose log lines are not examined. */
import type { Log } from '../../observe/log.js';

/** Discards all lines. */
export const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
