/**
 * Corrects declared sizes by measured use, because declarations may be far off. A task that uses
 * more than it declared counts with what it uses; a submitted job that uses less counts with less,
 * so that part of the unused cores becomes available.
 */
import type { Resources } from './placement-input.js';

/** The measured use is multiplied by this factor, because usage reports lag behind. */
const HEADROOM_FACTOR = 1.25;
/**
 * A submitted job counts with at least this share of its declared cores, however little it uses.
 */
const MIN_DECLARED_SHARE = 0.5;

/**
 * Corrects the declared size of a task by its measured use.
 *
 * @param declared - The declared size.
 * @param usedCores - The measured use in cores, or undefined while there is no report.
 * @param isExecutor - Whether the task is an executor of a service, which never counts with less
 * than its declared size.
 * @returns The size to use for placement.
 */
export const correctSize = (
  declared: Resources,
  usedCores: number | undefined,
  isExecutor: boolean,
): Resources => {
  if (usedCores === undefined) return declared;
  const minCores = declared.cores * (isExecutor ? 1 : MIN_DECLARED_SHARE);
  return { ...declared, cores: Math.max(minCores, usedCores * HEADROOM_FACTOR) };
};
