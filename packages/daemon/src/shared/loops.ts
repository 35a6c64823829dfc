/** Loops that repeat a piece of work. Runs of one loop never overlap. */

/** A piece of work that is repeated. */
export type Loop = {
  readonly name: string;
  /** The pause after each run, in milliseconds. */
  readonly pauseMs: number | (() => number);
  readonly run: () => Promise<void>;
};

/** Loops that have been started. */
export type RunningLoops = {
  /** Stops the loops and waits for the runs that are in progress. */
  readonly stop: () => Promise<void>;
};

/**
 * Starts loops. A run that throws is reported and does not end its loop.
 *
 * @param loops - The loops to start.
 * @param onFault - Called with the name of the loop and the error for each run that threw.
 * @returns A handle that stops the loops.
 */
export const startLoops = (
  loops: readonly Loop[],
  onFault: (name: string, error: unknown) => void,
): RunningLoops => {
  let isStopped = false;
  const wakeUps = new Set<() => void>();

  const pause = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        wakeUps.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      wakeUps.add(finish);
    });

  const repeat = async ({ name, pauseMs, run }: Loop): Promise<void> => {
    while (!isStopped) {
      await run().catch((error: unknown) => onFault(name, error));
      if (!isStopped) await pause(typeof pauseMs === 'number' ? pauseMs : pauseMs());
    }
  };

  const ended = loops.map(repeat);
  return {
    stop: async () => {
      isStopped = true;
      Array.from(wakeUps).forEach((wakeUp) => wakeUp());
      await Promise.all(ended);
    },
  };
};
