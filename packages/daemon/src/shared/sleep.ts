/** A delay as a promise. */

/**
 * Waits for a time.
 *
 * @param ms - The time, in milliseconds.
 * @returns A promise that resolves after that time.
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
