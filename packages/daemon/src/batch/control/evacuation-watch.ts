/** Reports the progress of evacuations in log lines and gauges, from when the holder first learns of one to its end. */
import { countRunsInDataCentre, type BatchState } from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { StartGate } from '../configuration/start-gate.js';
import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

/** An evacuation that this holder tracks. */
export type WatchedEvacuation = {
  readonly dataCentre: DataCentreId;
  /** The version of the operator's row that orders the evacuation. */
  readonly revision: number;
  /** Since when this holder knows of it, by its monotonic clock. */
  readonly knownSinceMs: number;
  /** The same by the wall clock. */
  readonly knownSinceWallClockMs: number;
  /** True if no short run is left there. Long-running tasks stay and are not counted. */
  readonly isEmpty: boolean;
};

export type EvacuationWatchOptions = {
  readonly state: BatchState;
  readonly gate: Pick<StartGate, 'view' | 'ageMs'>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly wallClockMs: () => number;
};

export type EvacuationWatch = {
  /** Logs changes and sets the gauges; to be called several times a second. */
  readonly update: () => void;
  readonly evacuations: () => ReadonlyMap<DataCentreId, WatchedEvacuation>;
  /** The version of the operator's rows that this entry knows. */
  readonly revision: () => number;
  /** The age of this entry's evacuation view in milliseconds: newer rows may have been missed for that long. */
  readonly viewAgeMs: () => number;
  /** Sets all gauges to 0, at the end of the term. */
  readonly close: () => void;
};

const gaugeName = (dataCentre: DataCentreId): string =>
  `evacuated_runs_left{data_centre=${JSON.stringify(dataCentre)}}`;

/**
 * Builds the evacuation watch of a term.
 *
 * @param options - The evacuation view, the state of the runs, and where to report.
 * @returns The watch.
 */
export const createEvacuationWatch = ({
  state,
  gate,
  log,
  metrics,
  nowMs,
  wallClockMs,
}: EvacuationWatchOptions): EvacuationWatch => {
  const watched = new Map<DataCentreId, WatchedEvacuation>();

  const viewAgeMs = (): number => Math.round(gate.ageMs());

  const startWatching = (dataCentre: DataCentreId, revision: number): void => {
    const { endpoints, shortRuns, longRuns } = countRunsInDataCentre(state, dataCentre);
    const fields = { dataCentre, revision, ageMs: viewAgeMs(), endpoints, shortRuns, longRuns };
    // A data centre without endpoints may be a misspelt name.
    if (endpoints === 0) log.warn('evacuation-begun', fields);
    else log.info('evacuation-begun', fields);
    watched.set(dataCentre, {
      dataCentre,
      revision,
      knownSinceMs: nowMs(),
      knownSinceWallClockMs: wallClockMs(),
      isEmpty: false,
    });
  };

  const updateRunCounts = (evacuation: WatchedEvacuation): void => {
    const { dataCentre, revision, knownSinceMs } = evacuation;
    const { endpoints, shortRuns, longRuns } = countRunsInDataCentre(state, dataCentre);
    metrics.gauge(gaugeName(dataCentre), shortRuns);
    const isEmpty = shortRuns === 0;
    if (isEmpty === evacuation.isEmpty) return;
    watched.set(dataCentre, { ...evacuation, isEmpty });
    if (!isEmpty || endpoints === 0) return;
    const sinceKnownMs = Math.round(nowMs() - knownSinceMs);
    log.info('evacuation-empty', {
      dataCentre,
      revision,
      ageMs: viewAgeMs(),
      afterMs: sinceKnownMs,
      longRuns,
    });
  };

  const stopWatching = ({ dataCentre, knownSinceMs }: WatchedEvacuation): void => {
    const { revision } = gate.view();
    const lastedMs = Math.round(nowMs() - knownSinceMs);
    log.info('evacuation-ended', { dataCentre, revision, ageMs: viewAgeMs(), lastedMs });
    metrics.gauge(gaugeName(dataCentre), 0);
    watched.delete(dataCentre);
  };

  const update = (): void => {
    const { evacuated } = gate.view();
    evacuated.forEach((revision, dataCentre) => {
      if (!watched.has(dataCentre)) startWatching(dataCentre, revision);
    });
    Array.from(watched.values())
      .filter(({ dataCentre }) => !evacuated.has(dataCentre))
      .forEach(stopWatching);
    watched.forEach(updateRunCounts);
    metrics.gauge('evacuated_data_centres', watched.size);
  };

  return {
    update,
    evacuations: () => watched,
    revision: () => gate.view().revision,
    viewAgeMs,
    close: () => {
      watched.forEach(({ dataCentre }) => metrics.gauge(gaugeName(dataCentre), 0));
      metrics.gauge('evacuated_data_centres', 0);
    },
  };
};
