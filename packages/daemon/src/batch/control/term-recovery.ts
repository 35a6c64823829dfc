/** Recovers the state of a term from the stored rows and from the list of endpoints. */
import { addPendingReports, instanceIdOf, type BatchState } from '@valvelatch/core/batch';

import { sleep } from '../../shared/sleep.js';
import type { EndpointRoster } from '../endpoints/endpoint-roster.js';
import type { JobRowReader, RetryUntilTermEnds } from '../jobs/job-row-reader.js';
import type { EndpointChanges } from '../ports.js';
import type { DemandHistoryStore } from './demand-history-store.js';
import type { TermGuard } from './term-guard.js';

const RETRY_MS = 300;

export type TermRecoveryOptions = {
  /** The state of the term, which is empty. */
  readonly state: BatchState;
  readonly guard: Pick<TermGuard, 'acquire'>;
  readonly jobRows: Pick<JobRowReader, 'read' | 'restore'>;
  readonly roster: Pick<EndpointRoster, 'readList' | 'applyListChanges'>;
  readonly demandHistory: Pick<DemandHistoryStore, 'restore'>;
  /** Requests the list of hosts. */
  readonly refreshHosts: () => Promise<void>;
  /** The longest lease that the platform allows, in milliseconds. */
  readonly longestLeaseMs: () => number;
  /** For how long after the start of the recovery earlier holders may still order endpoints, in milliseconds. */
  readonly formerOrdersRemainingMs: number;
  /** For how long after the start of the recovery leases that earlier holders gave may last, in milliseconds. */
  readonly inheritedLeasesMs: number;
  readonly isStopped: () => boolean;
  /** Called with the number of listed endpoints as soon as the state is recovered; never if the term ends before. */
  readonly onRecovered: (endpointCount: number) => void;
  readonly nowMs: () => number;
};

const createRetry =
  (isStopped: () => boolean): RetryUntilTermEnds =>
  async (attempt) => {
    while (!isStopped()) {
      const value = await attempt();
      if (value !== undefined) return value;
      await sleep(RETRY_MS);
    }
    return undefined;
  };

/** Makes the endpoints of a list known to the state, each with its report still to come. */
const expectReports = (state: BatchState, { changed }: EndpointChanges): void =>
  addPendingReports(
    state,
    changed.map(({ endpointId, pool }) => ({ instanceId: instanceIdOf(endpointId), pool })),
  );

/**
 * Creates the recovery of a term.
 *
 * @param options - The state of the term, and what it is recovered from.
 * @returns The function that recovers the state, to be called once; it resolves once the state is recovered or the term
 *   has ended.
 */
export const createTermRecovery = ({
  state,
  guard,
  jobRows,
  roster,
  demandHistory,
  refreshHosts,
  longestLeaseMs,
  formerOrdersRemainingMs,
  inheritedLeasesMs,
  isStopped,
  onRecovered,
  nowMs,
}: TermRecoveryOptions): (() => Promise<void>) => {
  const retryUntilDefined = createRetry(isStopped);

  const recordStart = (startedAtMs: number): void => {
    const limits: Partial<BatchState> = {
      takenOverAtMs: startedAtMs,
      longestLeaseMs: longestLeaseMs(),
      inheritedLeasesEndAtMs: startedAtMs + inheritedLeasesMs,
      formerOrdersEndAtMs: startedAtMs + formerOrdersRemainingMs,
      isHostListAwaited: true,
    };
    Object.assign(state, limits);
  };

  return async () => {
    recordStart(nowMs());
    // Only inherited tasks wait for the list of hosts.
    void refreshHosts();
    // The second read finds what an earlier holder wrote after the first read and before the guard row changed.
    const [, firstRead, endpoints] = await Promise.all([
      retryUntilDefined(guard.acquire),
      jobRows.read(retryUntilDefined),
      retryUntilDefined(roster.readList),
      demandHistory.restore(),
    ]);
    const secondRead = await jobRows.read(retryUntilDefined);
    if (isStopped() || !firstRead || !secondRead || !endpoints) return;
    Object.assign(state, { clockMs: nowMs() });
    jobRows.restore([firstRead, secondRead]);
    expectReports(state, endpoints);
    roster.applyListChanges(endpoints);
    onRecovered(endpoints.changed.length);
  };
};
