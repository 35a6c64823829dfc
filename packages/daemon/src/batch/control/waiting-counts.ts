/** The number of waiting jobs by queue, which only the control holder knows, cached at each entry. */

/**
 * How long an entry caches the holder's counts of waiting jobs. The counts may be up to 2 s old, and clients ask
 * all entries for them.
 */
const MAX_WAITING_CACHE_AGE_MS = 700;

/** The number of waiting jobs by the name of their queue, as entries send it to each other. */
export type WaitingCounts = Readonly<Record<string, number>>;

export type WaitingCountsOptions = {
  /** Counts the jobs at this entry; undefined if it is not the holder. */
  readonly countHere: () => WaitingCounts | undefined;
  /** Asks the holder; resolves to null or undefined if it does not answer or does not hold control any more. */
  readonly askHolder: () => Promise<WaitingCounts | null | undefined>;
  readonly nowMs: () => number;
};

type CachedCounts = { readonly atMs: number; readonly counts: ReadonlyMap<string, number> };

/**
 * Creates the cache of one entry.
 *
 * @param options - Where the counts come from.
 * @returns The function that reads the counts; it resolves to undefined if the holder does not answer.
 */
export const createWaitingCounts = ({
  countHere,
  askHolder,
  nowMs,
}: WaitingCountsOptions): (() => Promise<ReadonlyMap<string, number> | undefined>) => {
  let cached: CachedCounts | undefined;

  return async () => {
    if (cached && nowMs() - cached.atMs < MAX_WAITING_CACHE_AGE_MS) return cached.counts;
    const atMs = nowMs();
    const counts = countHere() ?? (await askHolder());
    if (!counts) return undefined;
    cached = { atMs, counts: new Map(Object.entries(counts)) };
    return cached.counts;
  };
};
