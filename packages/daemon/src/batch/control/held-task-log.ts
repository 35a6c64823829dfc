/** Logs the tasks that have been held for seconds, and what each of them waits for. */
import { listHeldTasks, type BatchState, type HeldTask } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';

/** A task that has been held for the same reason for this long is logged. Starts, stops and row writes take less. */
const HELD_TOO_LONG_MS = 3000;
/** At most this many tasks are logged at a time: those that have been held for the longest. */
const MAX_LOGGED_TASKS = 5;

export type HeldTaskLogOptions = {
  readonly state: BatchState;
  readonly log: Log;
  readonly nowMs: () => number;
};

const keyOf = ({ task, run, reason }: HeldTask): string => `${task}/${run ?? ''}/${reason}`;

/**
 * Creates the log of held tasks of one control term.
 *
 * @param options - The state, the log and the clock.
 * @returns A function to be called about once a second; it writes one line while tasks have been held for too long.
 */
export const createHeldTaskLog = ({ state, log, nowMs }: HeldTaskLogOptions): (() => void) => {
  let heldSinceMs: ReadonlyMap<string, number> = new Map();

  return () => {
    const held = listHeldTasks(state, nowMs());
    const sinceMsOf = (one: HeldTask): number => heldSinceMs.get(keyOf(one)) ?? nowMs();
    const forMsOf = (one: HeldTask): number => Math.round(nowMs() - sinceMsOf(one));
    const overdue = held
      .filter((one) => forMsOf(one) >= HELD_TOO_LONG_MS)
      .sort((left, right) => sinceMsOf(left) - sinceMsOf(right));
    if (overdue.length > 0) {
      const named = overdue
        .slice(0, MAX_LOGGED_TASKS)
        .map((one) => {
          const run = one.run === undefined ? '' : ` run ${one.run} on ${one.endpointId ?? ''}`;
          return `${one.task}${run}: ${one.reason} for ${forMsOf(one)} ms`;
        })
        .join('; ');
      log.warn('tasks-held', { tasks: overdue.length, named });
    }
    heldSinceMs = new Map(held.map((one) => [keyOf(one), sinceMsOf(one)]));
  };
};
