/**
 * The retry budget: each first attempt adds a fraction of a token and each retry takes one token,
 * so that retries stay a bounded share of the load however many endpoints fail.
 */

/** The state of a budget. It is changed in place, because each request updates it. */
export type RetryBudget = {
  /** The retries that are available, including a fraction. */
  tokens: number;
  /** The tokens that a first attempt adds. */
  readonly tokensPerRequest: number;
  /** The maximum number of tokens. */
  readonly maxTokens: number;
};

export type RetryBudgetOptions = {
  /** The tokens that a first attempt adds. */
  readonly tokensPerRequest?: number;
  /** The maximum number of tokens. */
  readonly maxTokens?: number;
};

/**
 * Creates a full budget.
 *
 * @param options - The tokens that a first attempt adds, and the maximum.
 * @returns The budget.
 */
export const createRetryBudget = ({
  tokensPerRequest = 0.1,
  maxTokens = 20,
}: RetryBudgetOptions = {}): RetryBudget => ({ tokens: maxTokens, tokensPerRequest, maxTokens });

/**
 * Adds the tokens for a first attempt.
 *
 * @param budget - The budget, changed in place.
 */
export const addRetryTokens = (budget: RetryBudget): void => {
  const state = budget;
  state.tokens = Math.min(state.maxTokens, state.tokens + state.tokensPerRequest);
};

/**
 * Takes one token, if one is available.
 *
 * @param budget - The budget, changed in place.
 * @returns True if the retry may be made.
 */
export const takeRetryToken = (budget: RetryBudget): boolean => {
  const state = budget;
  if (state.tokens < 1) return false;
  state.tokens -= 1;
  return true;
};
