/**
 * Tells whether a pool is calm, and which runs are conclusive. In a storm of crashes and cuts, a run on an endpoint that is
 * lost may never have started, or may have ended unheard before. A task with such crashes therefore waits for a calm pool.
 * If the endpoint of its next run is lost, it crashed under that run.
 */
import type { PoolName } from '../../shared/ids.js';
import {
  poolOf,
  type BatchState,
  type EndpointCrash,
  type RecentCrash,
  type Task,
} from '../model/state.js';

/** A pool is calm after this time without unexplained crashes under one holder. */
const CALM_MS = 4000;
/** The time for which recent crashes are kept. */
export const RECENT_CRASH_MS = CALM_MS;
/** From this many crashes on that are not confirmed, a task starts only in a calm pool. */
const MIN_UNCONFIRMED_CRASHES = 2;
/** From this many crashes of any kind on, one that is not confirmed is enough for that. */
const MIN_CRASHES_WITH_UNCONFIRMED = 3;
/** A task waits no longer than this for a calm pool: in a large one, hosts fail all the time. */
const MAX_WAIT_FOR_CALM_MS = 15_000;

/**
 * Tells whether an endpoint crashed recently, as far as this holder knows.
 *
 * @param state - The batch state.
 * @param withinMs - How recently, in milliseconds; at most `RECENT_CRASH_MS`.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @param isCounted - Which crashes count; all by default.
 * @returns True if there was such a crash.
 */
export const hasRecentCrash = (
  { recentCrashes }: BatchState,
  withinMs: number,
  nowMs: number,
  isCounted: (crash: RecentCrash) => boolean = () => true,
): boolean => recentCrashes.some((crash) => nowMs - crash.atMs < withinMs && isCounted(crash));

/**
 * Tells whether a pool is calm.
 *
 * @param state - The batch state.
 * @param pool - The pool.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True if this entry has been the holder for long enough and no unexplained crash is recent.
 */
export const isPoolCalm = (state: BatchState, pool: PoolName, nowMs: number): boolean =>
  nowMs - state.takenOverAtMs >= CALM_MS &&
  !hasRecentCrash(state, CALM_MS, nowMs, (one) => one.pool === pool && !one.isExplained);

/** Tells whether so little is known of the crashes under a task that its next run has to be conclusive. */
const needsConclusiveRun = (crashes: readonly EndpointCrash[]): boolean => {
  const unconfirmed = crashes.filter(({ isConfirmed }) => !isConfirmed).length;
  return (
    unconfirmed >= MIN_UNCONFIRMED_CRASHES ||
    (unconfirmed > 0 && crashes.length >= MIN_CRASHES_WITH_UNCONFIRMED)
  );
};

/**
 * Tells whether a run of a task that is started now is conclusive.
 *
 * @param state - The batch state.
 * @param pool - The task's pool.
 * @param task - The task.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True if little is known of the crashes under the task, and the pool is calm.
 */
export const isConclusiveRun = (
  state: BatchState,
  pool: PoolName,
  { crashes }: Pick<Task, 'crashes'>,
  nowMs: number,
): boolean => needsConclusiveRun(crashes) && isPoolCalm(state, pool, nowMs);

/**
 * Tells whether a suspect may be started now. One with several crashes of which none is certain waits for a calm pool,
 * where its next run is conclusive, so that it does not crash endpoint after endpoint unproven.
 *
 * @param state - The batch state.
 * @param pool - The task's pool.
 * @param task - The task.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns False while the task waits for a calm pool.
 */
export const mayStartSuspect = (
  state: BatchState,
  pool: PoolName,
  { crashes, lastEnd }: Task,
  nowMs: number,
): boolean => {
  if (!needsConclusiveRun(crashes) || isPoolCalm(state, pool, nowMs)) return true;
  const waitsSinceMs = Math.max(state.takenOverAtMs, lastEnd?.countedAtMs ?? 0);
  return nowMs - waitsSinceMs >= MAX_WAIT_FOR_CALM_MS;
};

/**
 * Tells whether endpoints of a pool lived on although they left questions unanswered, because of a cut or a pause.
 *
 * @param state - The batch state.
 * @param pool - The pool.
 * @param sinceMs - From when on.
 * @returns True if one has answered since then after a silence, or has fallen silent since then and is listed. One that has
 *   been silent for longer tells nothing of that time.
 */
export const hadUnheardEndpoints = (state: BatchState, pool: PoolName, sinceMs: number): boolean =>
  poolOf(state, pool).lastSilenceEndedAtMs >= sinceMs ||
  Array.from(state.endpoints.values()).some(
    (endpoint) =>
      endpoint.pool === pool &&
      endpoint.unansweredSinceMs >= sinceMs &&
      endpoint.unansweredSinceMs < Infinity,
  );
