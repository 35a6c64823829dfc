/** A wait by the clock. */

/**
 * Waits.
 *
 * @param ms - For how long, in milliseconds.
 * @returns Resolves afterwards.
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
