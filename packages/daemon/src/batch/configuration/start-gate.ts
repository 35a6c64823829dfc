/** Whether orders to start may leave an entry, by what it believes of the operator's evacuations. */
import { UNREAD_EVACUATION_VIEW, type EvacuationView } from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { ConfigurationKeeper } from './configuration-keeper.js';
import type { EvacuationKeeper } from './evacuation-keeper.js';

export type StartGateOptions = {
  readonly evacuations: EvacuationKeeper;
  readonly configuration: Pick<ConfigurationKeeper, 'confirmEvacuations' | 'isAwayForNeighbours'>;
  /** The table answers neither this entry nor the neighbours that it asks. */
  readonly isTableAway: () => boolean;
};

export type StartGate = {
  readonly belief: () => EvacuationView;
  readonly evacuated: () => ReadonlySet<DataCentreId>;
  /** For how long a newer evacuation may have gone unheard. */
  readonly ageMs: () => number;
  /** False while a newer evacuation may have gone unheard for too long: nothing may start anywhere. */
  readonly isOpen: () => boolean;
  /** True if the belief was confirmed since this time, or need not be. */
  readonly isConfirmedSince: (sinceMs: number) => boolean;
  /** True if a task may start in a data centre now. */
  readonly mayStartIn: (dataCentre: DataCentreId) => boolean;
  /** Has the belief confirmed without waiting for the next reading of the feed. */
  readonly confirm: () => Promise<void>;
};

/** The gate of an entry without evacuations. */
export const OPEN_GATE: StartGate = {
  belief: () => UNREAD_EVACUATION_VIEW,
  evacuated: () => new Set(),
  ageMs: () => 0,
  isOpen: () => true,
  isConfirmedSince: () => true,
  mayStartIn: () => true,
  confirm: async () => undefined,
};

/**
 * Builds the gate of an entry.
 *
 * @param options - What is believed, how it is confirmed, and whether the table is away.
 * @returns The gate.
 */
export const createStartGate = ({
  evacuations,
  configuration,
  isTableAway,
}: StartGateOptions): StartGate => {
  /**
   * While the table is away for all, no operator is answered. An entry that reaches neither the table nor a neighbour
   * cannot tell that from a cut of its own.
   */
  const isAwayForAll = (): boolean => isTableAway() && configuration.isAwayForNeighbours();

  const isOpen = (): boolean => evacuations.isRecent() || isAwayForAll();

  return {
    belief: evacuations.belief,
    evacuated: evacuations.evacuated,
    ageMs: evacuations.ageMs,
    isOpen,
    isConfirmedSince: (sinceMs) =>
      !evacuations.isBounded() || evacuations.isConfirmedSince(sinceMs),
    mayStartIn: (dataCentre) => isOpen() && !evacuations.evacuated().has(dataCentre),
    confirm: configuration.confirmEvacuations,
  };
};
