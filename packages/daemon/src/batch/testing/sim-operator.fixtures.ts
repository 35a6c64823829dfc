/** The operator's rows in virtual time: evacuations as they are ordered and withdrawn, and how entries read them. */
import type { BatchConfiguration, EvacuationChange } from '@valvelatch/core/batch';
import { createRng } from '@valvelatch/core/shared/rng';
import type { DataCentreId } from '@valvelatch/core/shared/ids';
import type { PlatformError } from '@valvelatch/platform';
import { Err, Ok, type Result } from 'ts-results-es';

import type { EvacuationNews, FeedReading, OperatorFeed, OperatorNews } from '../ports.js';

const STORE_MS = 4;
const CALL_TIMEOUT_MS = 900;
const READING: FeedReading = { scope: 'changes', replaced: 0, bytes: 0, arrivingMs: 0 };
/** After a compaction, full readings are older than the table by up to the second, for so long. */
const STALE_MS = { least: 3000, most: 6000 };

const NO_ANSWER: PlatformError = { kind: 'unknown', detail: 'no answer' };

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

type Written = EvacuationChange & { readonly atMs: number };

/** When a data centre was evacuated; open while it is. */
type Evacuation = {
  readonly dataCentre: DataCentreId;
  readonly sinceMs: number;
  endMs: number;
};

/** What an entry meets as it reads the rows. */
export type OperatorReach = {
  /** Resolves once the entry runs. */
  readonly awake: () => Promise<void>;
  readonly isCut: () => boolean;
  /** The share of answers that are lost. */
  readonly lost: () => number;
  readonly configuration: BatchConfiguration;
};

/**
 * Builds the operator and the rows; chance of its own keeps plays without evacuations as they are.
 *
 * @param seed - Of what is lost and how stale readings are.
 * @returns The operator.
 */
export const createSimOperator = (seed = 1) => {
  const random = createRng(seed);
  const history: Written[] = [];
  const evacuations: Evacuation[] = [];
  const waiters = new Set<() => void>();
  /** Rises as the history is forgotten: feeds that began before must read in full. */
  let epoch = 0;
  let staleByMs = 0;
  let staleUntilMs = -Infinity;
  /** Until then no changes are answered, only full readings. */
  let noChangesUntilMs = -Infinity;

  const write = (dataCentre: DataCentreId, isDeleted: boolean): void => {
    const revision = history.length + 1;
    history.push({ dataCentre, revision, isDeleted, atMs: performance.now() });
    waiters.forEach((wake) => wake());
  };

  const openOf = (dataCentre: DataCentreId): Evacuation | undefined =>
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

  const readWhole = (): EvacuationNews => {
    const isStale = performance.now() < staleUntilMs;
    const asOfMs = performance.now() - (isStale ? staleByMs : 0);
    const seen = history.filter(({ atMs }) => atMs <= asOfMs);
    const newest = new Map(seen.map((row) => [row.dataCentre, row]));
    const changes = Array.from(newest.values()).filter(({ isDeleted }) => !isDeleted);
    return { changes, isFullRead: true, isCurrent: false, revision: seen.length };
  };

  const feedOf = ({ awake, isCut, lost, configuration }: OperatorReach): OperatorFeed => {
    let after: number | undefined;
    let ownEpoch = 0;
    let hasFailed = false;

    const readChanges = async (waitMs: number): Promise<EvacuationNews | undefined> => {
      const position = after ?? 0;
      if (history.length <= position && waitMs > 0) await waitForChange(waitMs);
      if (ownEpoch < epoch || performance.now() < noChangesUntilMs) return undefined;
      const changes = history.slice(position);
      return { changes, isFullRead: false, isCurrent: true, revision: history.length };
    };

    const read = async (waitMs: number): Promise<EvacuationNews> => {
      const mustReadWhole = after === undefined || hasFailed;
      const changes = mustReadWhole ? undefined : await readChanges(waitMs);
      if (changes) return changes;
      ownEpoch = epoch;
      return readWhole();
    };

    const next = async (waitMs: number): Promise<Result<OperatorNews, PlatformError>> => {
      await awake();
      await sleep(STORE_MS);
      const news = isCut() ? undefined : await read(waitMs);
      if (news === undefined || isCut() || random() < lost()) {
        hasFailed = true;
        await sleep(CALL_TIMEOUT_MS);
        await awake();
        return Err(NO_ANSWER);
      }
      hasFailed = false;
      const isFirst = after === undefined;
      after = Math.max(after ?? 0, news.revision);
      await sleep(1);
      await awake();
      const told = { waves: [], reading: READING, evacuations: news };
      return Ok(isFirst ? { ...told, configuration } : told);
    };

    return { next };
  };

  return {
    random,
    feedOf,
    /** The row is written; what follows is counted from its acknowledgement, which is now. */
    evacuate: (dataCentre: DataCentreId): void => {
      if (!openOf(dataCentre)) {
        evacuations.push({ dataCentre, sinceMs: performance.now(), endMs: Infinity });
      }
      write(dataCentre, false);
    },
    takeBack: (dataCentre: DataCentreId): void => {
      const open = openOf(dataCentre);
      if (!open) return;
      open.endMs = performance.now();
      write(dataCentre, true);
    },
    /** Feeds must read in full, and what they read is old for a time; changes may be refused for as long. */
    forgetHistory: ({ refusesChanges = false } = {}): void => {
      epoch += 1;
      staleByMs = STALE_MS.least + random() * (STALE_MS.most - STALE_MS.least);
      staleUntilMs = performance.now() + staleByMs;
      if (refusesChanges) noChangesUntilMs = staleUntilMs;
      waiters.forEach((wake) => wake());
    },
    /** For how long a data centre had been evacuated at a time; undefined where it was not. */
    evacuatedForMs: (dataCentre: DataCentreId, atMs: number): number | undefined => {
      const found = evacuations.find(
        (one) => one.dataCentre === dataCentre && one.sinceMs <= atMs && atMs < one.endMs,
      );
      return found && atMs - found.sinceMs;
    },
  };
};

export type SimOperator = ReturnType<typeof createSimOperator>;
