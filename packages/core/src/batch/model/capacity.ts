/** Amounts of room: what an endpoint has, what a task takes, what an account may have running. */

/** An amount of each resource. */
export type Capacity = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
};

/** An amount of room that changes in place. */
export type Usage = { -readonly [Resource in keyof Capacity]: number };

/** The resources that are counted. */
export const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** What an account without a maximum may have running. */
export const NO_LIMIT: Capacity = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Builds an amount of nothing.
 *
 * @returns The amount.
 */
export const noUsage = (): Usage => ({ cpuMillis: 0, memoryMb: 0, accelerators: 0 });
