/**
 * Keeps what an entry believes of the operator's evacuations, and when that was last confirmed. It is fed by the
 * operator's feed and by neighbours, through the keeper of the configuration.
 */
import {
  applyEvacuationUpdate,
  mergeEvacuationViews,
  UNREAD_EVACUATION_VIEW,
  type EvacuationView,
} from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { EvacuationNews } from '../ports.js';

/** An order to start may be under way for so long after the last check. */
const ORDER_MS = 1000;

/** A belief as entries tell it to each other. */
export type ToldEvacuations = {
  readonly revision: number;
  readonly evacuated: readonly (readonly [DataCentreId, number])[];
  /** How long ago it was confirmed; null if it never was. */
  readonly confirmedAgoMs: number | null;
};

export type EvacuationKeeperOptions = {
  /** How long after an evacuation was ordered the last task may begin there; undefined without a bound. */
  readonly evacuateMs: () => number | undefined;
  readonly log: Log;
  readonly nowMs?: () => number;
};

export type EvacuationKeeper = {
  readonly belief: () => EvacuationView;
  readonly evacuated: () => ReadonlySet<DataCentreId>;
  /** For how long a newer evacuation may have gone unheard; Infinity before the first confirmation. */
  readonly ageMs: () => number;
  /** True where the deployment bounds how long an evacuation may go unheard. */
  readonly isBounded: () => boolean;
  /** True if the belief is recent enough for starts, or need not be. */
  readonly isRecent: () => boolean;
  /** True if the belief was confirmed by a question that was asked at this time or later. */
  readonly isConfirmedSince: (sinceMs: number) => boolean;
  /** Takes in what the operator's feed answered to a question of this time. */
  readonly take: (news: EvacuationNews, askedAtMs: number) => void;
  /** Takes in what a neighbour answered to a question of this time. */
  readonly takeAnswer: (told: ToldEvacuations, askedAtMs: number) => void;
  /** Takes in what a neighbour told with its question; that was under way for an unknown time and confirms nothing. */
  readonly takeQuestion: (told: ToldEvacuations) => void;
  readonly tell: () => ToldEvacuations;
};

const toBelief = ({ revision, evacuated }: ToldEvacuations): EvacuationView => ({
  revision,
  evacuated: new Map(evacuated),
});

/**
 * Builds the keeper.
 *
 * @param options - The bound, the log and the clock.
 * @returns The keeper; it believes in no evacuation, and that is not confirmed.
 */
export const createEvacuationKeeper = ({
  evacuateMs,
  log,
  nowMs = () => performance.now(),
}: EvacuationKeeperOptions): EvacuationKeeper => {
  let belief = UNREAD_EVACUATION_VIEW;
  let evacuated: ReadonlySet<DataCentreId> = new Set();
  let confirmedAtMs = -Infinity;
  /** The highest version that the own feed has told. */
  let feedRevision = -1;

  const ageMs = (): number => nowMs() - confirmedAtMs;

  const isRecent = (): boolean => {
    const boundMs = evacuateMs();
    return boundMs === undefined || ageMs() < boundMs - ORDER_MS;
  };

  /**
   * An answer of a part of the table that lags behind says nothing about now. The revision of a neighbour's belief does
   * not show that: a table need not raise the version of a feed without changes.
   */
  const isLagging = (revision: number): boolean =>
    revision < Math.max(feedRevision, ...belief.evacuated.values());

  const believe = (next: EvacuationView, source: string): void => {
    const before = evacuated;
    belief = next;
    evacuated = new Set(next.evacuated.keys());
    const isSame =
      before.size === evacuated.size && Array.from(before).every((one) => evacuated.has(one));
    if (isSame) return;
    log.info('evacuations-read', {
      revision: next.revision,
      dataCentres: Array.from(evacuated).join(','),
      from: source,
    });
  };

  const confirm = (atMs: number): void => {
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  };

  return {
    belief: () => belief,
    evacuated: () => evacuated,
    ageMs,
    isBounded: () => evacuateMs() !== undefined,
    isRecent,
    isConfirmedSince: (sinceMs) => confirmedAtMs >= sinceMs,
    take: (news, askedAtMs) => {
      const isNews = news.isCurrent && !isLagging(news.revision);
      feedRevision = Math.max(feedRevision, news.revision);
      believe(applyEvacuationUpdate(belief, news), 'table');
      if (isNews) confirm(askedAtMs);
    },
    takeAnswer: (told, askedAtMs) => {
      believe(mergeEvacuationViews(belief, toBelief(told)), 'neighbour');
      if (told.confirmedAgoMs !== null) confirm(askedAtMs - told.confirmedAgoMs);
    },
    takeQuestion: (told) => believe(mergeEvacuationViews(belief, toBelief(told)), 'neighbour'),
    tell: () => ({
      revision: belief.revision,
      evacuated: Array.from(belief.evacuated),
      confirmedAgoMs: confirmedAtMs === -Infinity ? null : ageMs(),
    }),
  };
};
