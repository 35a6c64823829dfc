/** Records of decisions, so that an operator can ask why. */

/** One decision, as it is told to an operator. */
export type DecisionRecord = {
  /** What it is about, in the form of a row key or `request/ID`. */
  readonly subject: string;
  readonly outcome: string;
  /** Why, in terms of the operator's own labels and selectors. */
  readonly reason: string;
  /** The configuration revision that was used. */
  readonly revision: number;
  /** What was tried on the way, in order. */
  readonly tried: readonly string[];
  readonly atMs: number;
};

/** A bounded memory of decisions. It changes in place. */
export type DecisionMemory = {
  readonly most: number;
  readonly records: Map<string, DecisionRecord>;
};

export type DecisionMemoryOptions = { readonly most?: number };

/**
 * Builds an empty memory.
 *
 * @param options - How many subjects are remembered at most.
 * @returns The memory.
 */
export const createDecisionMemory = ({
  most = 10_000,
}: DecisionMemoryOptions = {}): DecisionMemory => ({ most, records: new Map() });

/**
 * Remembers a decision; the oldest subject is forgotten where there is no room.
 *
 * @param memory - The memory, changed in place.
 * @param record - The decision; it takes the place of an earlier one on the same subject.
 */
export const rememberDecision = (memory: DecisionMemory, record: DecisionRecord): void => {
  memory.records.delete(record.subject);
  memory.records.set(record.subject, record);
  if (memory.records.size <= memory.most) return;
  const oldest = memory.records.keys().next();
  if (!oldest.done) memory.records.delete(oldest.value);
};

/**
 * Recalls the last decision on a subject.
 *
 * @param memory - The memory.
 * @param subject - The subject.
 * @returns The decision, or undefined if none is remembered.
 */
export const recallDecision = (
  memory: DecisionMemory,
  subject: string,
): DecisionRecord | undefined => memory.records.get(subject);
