/** A simulation of the operator's rows: evacuations that are ordered and withdrawn, and the feeds by which entries read them. */
import type { BatchConfiguration, EvacuationChange } from '@valvelatch/core/batch';
import { createRng } from '@valvelatch/core/shared/rng';
import type { DataCentreId } from '@valvelatch/core/shared/ids';
import type { PlatformError } from '@valvelatch/platform';
import { Err, Ok, type Result } from 'ts-results-es';

import type {
  EvacuationFeedUpdate,
  FeedReadStats,
  OperatorFeed,
  OperatorUpdate,
} from '../ports.js';

const STORE_MS = 4;
const CALL_TIMEOUT_MS = 900;
const READING: FeedReadStats = { scope: 'changes', replacedRows: 0, bytes: 0, transferMs: 0 };
/**
 * After a compaction, full reads return the rows as they were some time ago, and do so for as long again. The time is
 * drawn between these two bounds.
 */
const STALE_MS = { min: 3000, max: 6000 };

const NO_ANSWER: PlatformError = { kind: 'unknown', detail: 'no answer' };

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

type RowVersion = EvacuationChange & { readonly atMs: number };

/** A period in which a data centre was evacuated; endMs is Infinity while it lasts. */
type Evacuation = {
  readonly dataCentre: DataCentreId;
  readonly sinceMs: number;
  endMs: number;
};

/** The state of an entry and of its connection to the operator's rows. */
export type OperatorConnection = {
  /** Resolves once the entry's process runs. */
  readonly waitUntilRunning: () => Promise<void>;
  readonly isCut: () => boolean;
  /** Returns the share of answers that are lost, from 0 to 1. */
  readonly lossShare: () => number;
  readonly configuration: BatchConfiguration;
};

/**
 * Creates the operator and its rows. It has its own random number generator, so that it does not change the random
 * sequence of simulations without evacuations.
 *
 * @param seed - Determines which answers are lost and how stale full reads are.
 * @returns The operator.
 */
export const createSimOperator = (seed = 1) => {
  const random = createRng(seed);
  const history: RowVersion[] = [];
  const evacuations: Evacuation[] = [];
  const waiters = new Set<() => void>();
  /** Increases whenever the history is compacted: feeds that read before then must read in full. */
  let epoch = 0;
  let staleByMs = 0;
  let staleUntilMs = -Infinity;
  /** Until then reads of changes are refused, and only full reads are answered. */
  let noChangesUntilMs = -Infinity;

  const write = (dataCentre: DataCentreId, isDeleted: boolean): void => {
    const revision = history.length + 1;
    history.push({ dataCentre, revision, isDeleted, atMs: performance.now() });
    waiters.forEach((wake) => wake());
  };

  const findOpenEvacuation = (dataCentre: DataCentreId): Evacuation | undefined =>
    evacuations.find((one) => one.dataCentre === dataCentre && one.endMs === Infinity);

  const waitForChange = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiters.add(wake);
    });

  const readFull = (): EvacuationFeedUpdate => {
    const isStale = performance.now() < staleUntilMs;
    const asOfMs = performance.now() - (isStale ? staleByMs : 0);
    const visibleRows = history.filter(({ atMs }) => atMs <= asOfMs);
    const newest = new Map(visibleRows.map((row) => [row.dataCentre, row]));
    const changes = Array.from(newest.values()).filter(({ isDeleted }) => !isDeleted);
    return { changes, isFullRead: true, isCurrent: false, revision: visibleRows.length };
  };

  const createFeed = ({
    waitUntilRunning,
    isCut,
    lossShare,
    configuration,
  }: OperatorConnection): OperatorFeed => {
    let lastRevision: number | undefined;
    let lastReadEpoch = 0;
    let hasFailed = false;

    const readChanges = async (waitMs: number): Promise<EvacuationFeedUpdate | undefined> => {
      const position = lastRevision ?? 0;
      if (history.length <= position && waitMs > 0) await waitForChange(waitMs);
      if (lastReadEpoch < epoch || performance.now() < noChangesUntilMs) return undefined;
      const changes = history.slice(position);
      return { changes, isFullRead: false, isCurrent: true, revision: history.length };
    };

    const read = async (waitMs: number): Promise<EvacuationFeedUpdate> => {
      const mustReadFull = lastRevision === undefined || hasFailed;
      const changes = mustReadFull ? undefined : await readChanges(waitMs);
      if (changes) return changes;
      lastReadEpoch = epoch;
      return readFull();
    };

    const next = async (waitMs: number): Promise<Result<OperatorUpdate, PlatformError>> => {
      await waitUntilRunning();
      await sleep(STORE_MS);
      const news = isCut() ? undefined : await read(waitMs);
      if (news === undefined || isCut() || random() < lossShare()) {
        hasFailed = true;
        await sleep(CALL_TIMEOUT_MS);
        await waitUntilRunning();
        return Err(NO_ANSWER);
      }
      hasFailed = false;
      const isFirst = lastRevision === undefined;
      lastRevision = Math.max(lastRevision ?? 0, news.revision);
      await sleep(1);
      await waitUntilRunning();
      const operatorNews = { waves: [], readStats: READING, evacuations: news };
      return Ok(isFirst ? { ...operatorNews, configuration } : operatorNews);
    };

    return { next };
  };

  return {
    random,
    createFeed,
    /** Writes the row of an evacuation. The write is acknowledged at once: the evacuation's duration counts from now. */
    evacuate: (dataCentre: DataCentreId): void => {
      if (!findOpenEvacuation(dataCentre)) {
        evacuations.push({ dataCentre, sinceMs: performance.now(), endMs: Infinity });
      }
      write(dataCentre, false);
    },
    /** Withdraws a data centre's evacuation; without effect where there is none. */
    withdrawEvacuation: (dataCentre: DataCentreId): void => {
      const open = findOpenEvacuation(dataCentre);
      if (!open) return;
      open.endMs = performance.now();
      write(dataCentre, true);
    },
    /**
     * Compacts the history: feeds must read in full, and what they read is stale for a time. With refusesChanges, reads
     * of changes are refused for the same time.
     */
    compactHistory: ({ refusesChanges = false } = {}): void => {
      epoch += 1;
      staleByMs = STALE_MS.min + random() * (STALE_MS.max - STALE_MS.min);
      staleUntilMs = performance.now() + staleByMs;
      if (refusesChanges) noChangesUntilMs = staleUntilMs;
      waiters.forEach((wake) => wake());
    },
    /** Returns for how many ms a data centre had been evacuated at a time; undefined if it was not evacuated then. */
    evacuatedForMs: (dataCentre: DataCentreId, atMs: number): number | undefined => {
      const found = evacuations.find(
        (one) => one.dataCentre === dataCentre && one.sinceMs <= atMs && atMs < one.endMs,
      );
      return found && atMs - found.sinceMs;
    },
  };
};

export type SimOperator = ReturnType<typeof createSimOperator>;
