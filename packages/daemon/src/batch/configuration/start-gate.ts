/** Decides by an entry's view of the operator's evacuations whether it may send start orders. */
import { UNREAD_EVACUATION_VIEW, type EvacuationView } from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { ConfigurationSync } from './configuration-sync.js';
import type { EvacuationTracker } from './evacuation-tracker.js';

export type StartGateOptions = {
  readonly evacuations: EvacuationTracker;
  readonly configuration: Pick<
    ConfigurationSync,
    'confirmEvacuations' | 'isTableUnavailableToNeighbours'
  >;
  /** True if the table does not answer this entry, neither directly nor through its neighbours. */
  readonly isTableUnavailable: () => boolean;
};

export type StartGate = {
  readonly view: () => EvacuationView;
  readonly evacuated: () => ReadonlySet<DataCentreId>;
  /**
   * The time since the view was last confirmed; a newer evacuation may exist for as long. Infinity before the first.
   */
  readonly ageMs: () => number;
  /** False while the view is older than the deployment allows, so that no task may start in any data centre. */
  readonly isOpen: () => boolean;
  /** True if the view was confirmed by a read or question sent since this time, or the deployment sets no bound. */
  readonly isConfirmedSince: (sinceMs: number) => boolean;
  /** True if a task may start in this data centre now. */
  readonly mayStartIn: (dataCentre: DataCentreId) => boolean;
  /** Confirms the view at once, without waiting for the next read of the feed. */
  readonly confirm: () => Promise<void>;
};

/** A gate that allows every start, for an entry without evacuations. */
export const OPEN_GATE: StartGate = {
  view: () => UNREAD_EVACUATION_VIEW,
  evacuated: () => new Set(),
  ageMs: () => 0,
  isOpen: () => true,
  isConfirmedSince: () => true,
  mayStartIn: () => true,
  confirm: async () => undefined,
};

/**
 * Creates the start gate of an entry.
 *
 * @param options - The evacuation view, how to confirm it, and whether the table is unavailable.
 * @returns The gate.
 */
export const createStartGate = ({
  evacuations,
  configuration,
  isTableUnavailable,
}: StartGateOptions): StartGate => {
  /**
   * True if the table is unavailable to this entry and to its neighbours. Starts may then go on, since no operator
   * can order an evacuation either. It is false for an entry that reaches neither the table nor a neighbour: the
   * entry itself may be cut off while the table accepts orders.
   */
  const isTableUnavailableForAll = (): boolean =>
    isTableUnavailable() && configuration.isTableUnavailableToNeighbours();

  const isOpen = (): boolean => evacuations.isRecent() || isTableUnavailableForAll();

  return {
    view: evacuations.view,
    evacuated: evacuations.evacuated,
    ageMs: evacuations.ageMs,
    isOpen,
    isConfirmedSince: (sinceMs) =>
      !evacuations.isBounded() || evacuations.isConfirmedSince(sinceMs),
    mayStartIn: (dataCentre) => isOpen() && !evacuations.evacuated().has(dataCentre),
    confirm: configuration.confirmEvacuations,
  };
};
