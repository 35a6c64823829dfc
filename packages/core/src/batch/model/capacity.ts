/** Amounts of resources: what an endpoint has, what a task needs, and what an account may have running. */

/** An amount of each resource: CPU in thousandths of a core, memory in megabytes, and a number of accelerators. */
export type Capacity = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
};

/** An amount of each resource that is changed in place. */
export type Usage = { -readonly [Resource in keyof Capacity]: number };

/** The names of all resources. */
export const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const;

/** The maximum of an account without a limit: 0 means no limit. */
export const NO_LIMIT: Capacity = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Builds an amount of 0 of each resource.
 *
 * @returns The amount.
 */
export const createZeroUsage = (): Usage => ({ cpuMillis: 0, memoryMb: 0, accelerators: 0 });
