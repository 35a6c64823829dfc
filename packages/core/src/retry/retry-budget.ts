/**
 * The retry budget: first attempts earn a fraction of a retry each, so that retries stay a bounded
 * share of the load however many endpoints fail.
 */

/** The state of a budget. It changes in place, since it is touched by each request. */
export type RetryBudget = {
  tokens: number;
  readonly earnPerRequest: number;
  readonly most: number;
};

export type RetryBudgetOptions = {
  /** Retries earned by one first attempt. */
  readonly earnPerRequest?: number;
  /** The most retries that can be saved up. */
  readonly most?: number;
};

/**
 * Builds a full budget.
 *
 * @param options - The rate of earning and the ceiling.
 * @returns The budget.
 */
export const createRetryBudget = ({
  earnPerRequest = 0.1,
  most = 20,
}: RetryBudgetOptions = {}): RetryBudget => ({ tokens: most, earnPerRequest, most });

/**
 * Notes a first attempt.
 *
 * @param budget - The budget, changed in place.
 */
export const earnRetry = (budget: RetryBudget): void => {
  const state = budget;
  state.tokens = Math.min(state.most, state.tokens + state.earnPerRequest);
};

/**
 * Takes one retry out of the budget, if there is one.
 *
 * @param budget - The budget, changed in place.
 * @returns True if the retry may be made.
 */
export const spendRetry = (budget: RetryBudget): boolean => {
  const state = budget;
  if (state.tokens < 1) return false;
  state.tokens -= 1;
  return true;
};
