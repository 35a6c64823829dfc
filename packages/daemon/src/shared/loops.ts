/** Loops that run a piece of work again and again, never twice at the same time. */

/** A piece of work to repeat. */
export type Loop = {
  readonly name: string;
  /** The pause after each run. */
  readonly everyMs: number | (() => number);
  readonly run: () => Promise<void>;
};

/** Loops under way. */
export type RunningLoops = {
  /** Ends the loops and waits for work that is under way. */
  readonly stop: () => Promise<void>;
};

/**
 * Starts loops. A run that throws is reported and does not end its loop.
 *
 * @param loops - The work, with the pause after each run in milliseconds.
 * @param onFault - Told of each run that threw.
 * @returns The way to stop.
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

  const repeat = async ({ name, everyMs, run }: Loop): Promise<void> => {
    while (!isStopped) {
      await run().catch((error: unknown) => onFault(name, error));
      if (!isStopped) await pause(typeof everyMs === 'number' ? everyMs : everyMs());
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
