/** Stores recent decisions, so that an operator can query the reason for each of them. */

/** One decision, as it is shown to an operator. */
export type DecisionRecord = {
  /** What the decision is about: a row key, or `request/ID`. */
  readonly subject: string;
  readonly outcome: string;
  /** Why, in terms of the operator's own labels and selectors. */
  readonly reason: string;
  /** The configuration revision on which it was based. */
  readonly revision: number;
  /** The attempts that led to the outcome, in order. */
  readonly tried: readonly string[];
  readonly atMs: number;
};

/** A bounded store of decisions, one for each subject. It is changed in place. */
export type DecisionStore = {
  /** The maximum number of subjects. */
  readonly maxSubjects: number;
  readonly records: Map<string, DecisionRecord>;
};

export type DecisionStoreOptions = { readonly maxSubjects?: number };

/**
 * Creates an empty store.
 *
 * @param options - The maximum number of subjects.
 * @returns The store.
 */
export const createDecisionStore = ({
  maxSubjects = 10_000,
}: DecisionStoreOptions = {}): DecisionStore => ({ maxSubjects, records: new Map() });

/**
 * Stores a decision. If there are too many subjects, the one with the oldest decision is removed.
 *
 * @param memory - The store, changed in place.
 * @param record - The decision; it replaces an earlier one on the same subject.
 */
export const storeDecision = (memory: DecisionStore, record: DecisionRecord): void => {
  memory.records.delete(record.subject);
  memory.records.set(record.subject, record);
  if (memory.records.size <= memory.maxSubjects) return;
  const oldest = memory.records.keys().next();
  if (!oldest.done) memory.records.delete(oldest.value);
};

/**
 * Returns the last decision on a subject.
 *
 * @param memory - The store.
 * @param subject - The subject.
 * @returns The decision, or undefined if none is stored.
 */
export const findDecision = (memory: DecisionStore, subject: string): DecisionRecord | undefined =>
  memory.records.get(subject);
