/**
 * Declared sizes corrected by measured use, as they may be far off. A task that uses more than it
 * declared counts with what it uses; a submitted job that uses less gives part of the rest back.
 */
import type { Resources } from './placeable.js';

/** What is kept free above the measured use, since reports lag. */
const HEADROOM = 1.25;
/** A job that uses little still counts with this share of its declared cores. */
const LEAST_SHARE = 0.5;

/**
 * Corrects the declared size of a task by its measured use.
 *
 * @param declared - The declared size.
 * @param usedCores - The measured use, or undefined while there is no report.
 * @param isExecutor - Whether it serves requests: then it never counts with less than declared.
 * @returns The size to count with.
 */
export const correctedSize = (
  declared: Resources,
  usedCores: number | undefined,
  isExecutor: boolean,
): Resources => {
  if (usedCores === undefined) return declared;
  const least = declared.cores * (isExecutor ? 1 : LEAST_SHARE);
  return { ...declared, cores: Math.max(least, usedCores * HEADROOM) };
};
