/** The detail of an error for a log line. */

/**
 * Describes what was thrown, for errors that are faults of the program.
 *
 * @param error - What was thrown.
 * @returns The stack, or the message of an error without one; anything else as text.
 */
export const describeError = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error);
