/**
 * Keeps an entry's view of the operator's evacuations, and when that view was last confirmed. Updates come from the
 * operator's feed and from neighbours, through the configuration sync.
 */
import {
  applyEvacuationUpdate,
  mergeEvacuationViews,
  UNREAD_EVACUATION_VIEW,
  type EvacuationView,
} from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { EvacuationFeedUpdate } from '../ports.js';

/** How long a start order may be in flight after the last check of the view. */
const MAX_START_IN_FLIGHT_MS = 1000;

/** An evacuation view as entries send it to each other. */
export type EvacuationMessage = {
  /** The table's revision up to which the view is complete; -1 before the first read. */
  readonly revision: number;
  /** Each evacuated data centre with the revision at which its row was written. */
  readonly evacuated: readonly (readonly [DataCentreId, number])[];
  /** The time since the view was confirmed; null if it never was. */
  readonly confirmedAgoMs: number | null;
};

export type EvacuationTrackerOptions = {
  /** The maximum time between an evacuation order and the last task start there; undefined without a bound. */
  readonly maxEvacuationDelayMs: () => number | undefined;
  readonly log: Log;
  /** The monotonic clock. */
  readonly nowMs?: () => number;
};

export type EvacuationTracker = {
  readonly view: () => EvacuationView;
  /** The evacuated data centres. */
  readonly evacuated: () => ReadonlySet<DataCentreId>;
  /** The time since the view was last confirmed; Infinity before the first confirmation. */
  readonly ageMs: () => number;
  /** True if the deployment sets a maximum for the time until an evacuation takes effect. */
  readonly isBounded: () => boolean;
  /** True if the view is recent enough to start tasks by it, or the deployment sets no bound. */
  readonly isRecent: () => boolean;
  /** True if the view was confirmed by a read or question that was sent at this time or later. */
  readonly isConfirmedSince: (sinceMs: number) => boolean;
  /** Applies what the operator's feed answered to a read that began at `askedAtMs`. */
  readonly applyFeedUpdate: (news: EvacuationFeedUpdate, askedAtMs: number) => void;
  /** Merges the view in a neighbour's answer to a question that was sent at `askedAtMs`. */
  readonly applyAnswer: (message: EvacuationMessage, askedAtMs: number) => void;
  /**
   * Merges the view that a neighbour sent with its question. It does not confirm the view, since it is not known how
   * long the question was in flight.
   */
  readonly applyQuestion: (message: EvacuationMessage) => void;
  /** Returns the view as it is sent to other entries. */
  readonly toMessage: () => EvacuationMessage;
};

const toView = ({ revision, evacuated }: EvacuationMessage): EvacuationView => ({
  revision,
  evacuated: new Map(evacuated),
});

/**
 * Creates the evacuation tracker of an entry.
 *
 * @param options - The bound, the log and the clock.
 * @returns The tracker. Its view is empty and unconfirmed.
 */
export const createEvacuationTracker = ({
  maxEvacuationDelayMs,
  log,
  nowMs = () => performance.now(),
}: EvacuationTrackerOptions): EvacuationTracker => {
  let view = UNREAD_EVACUATION_VIEW;
  let evacuated: ReadonlySet<DataCentreId> = new Set();
  let confirmedAtMs = -Infinity;
  /** The highest revision that this entry's own feed has reported; -1 before the first read. */
  let feedRevision = -1;

  const ageMs = (): number => nowMs() - confirmedAtMs;

  const isRecent = (): boolean => {
    const boundMs = maxEvacuationDelayMs();
    return boundMs === undefined || ageMs() < boundMs - MAX_START_IN_FLIGHT_MS;
  };

  /**
   * True if an answer comes from a replica of the table that lags behind, so that it does not confirm the view. The
   * revision of a view received from a neighbour can't be used to detect this, since the table need not raise the
   * revision of a feed without changes.
   */
  const isLagging = (revision: number): boolean =>
    revision < Math.max(feedRevision, ...view.evacuated.values());

  const updateView = (next: EvacuationView, source: string): void => {
    const previous = evacuated;
    view = next;
    evacuated = new Set(next.evacuated.keys());
    const isSame =
      previous.size === evacuated.size &&
      Array.from(previous).every((dataCentre) => evacuated.has(dataCentre));
    if (isSame) return;
    log.info('evacuations-read', {
      revision: next.revision,
      dataCentres: Array.from(evacuated).join(','),
      from: source,
    });
  };

  const recordConfirmation = (atMs: number): void => {
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  };

  return {
    view: () => view,
    evacuated: () => evacuated,
    ageMs,
    isBounded: () => maxEvacuationDelayMs() !== undefined,
    isRecent,
    isConfirmedSince: (sinceMs) => confirmedAtMs >= sinceMs,
    applyFeedUpdate: (news, askedAtMs) => {
      const isConfirmation = news.isCurrent && !isLagging(news.revision);
      feedRevision = Math.max(feedRevision, news.revision);
      updateView(applyEvacuationUpdate(view, news), 'table');
      if (isConfirmation) recordConfirmation(askedAtMs);
    },
    applyAnswer: (message, askedAtMs) => {
      updateView(mergeEvacuationViews(view, toView(message)), 'neighbour');
      if (message.confirmedAgoMs !== null) recordConfirmation(askedAtMs - message.confirmedAgoMs);
    },
    applyQuestion: (message) =>
      updateView(mergeEvacuationViews(view, toView(message)), 'neighbour'),
    toMessage: () => ({
      revision: view.revision,
      evacuated: Array.from(view.evacuated),
      confirmedAgoMs: confirmedAtMs === -Infinity ? null : ageMs(),
    }),
  };
};
