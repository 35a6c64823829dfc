/** Tells how evacuations go, from the first that the holder hears of one to its end: log lines and gauges. */
import { countRunsInDataCentre, type BatchState } from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { StartGate } from '../configuration/start-gate.js';
import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

/** An evacuation as this holder follows it. */
export type WatchedEvacuation = {
  readonly dataCentre: DataCentreId;
  /** The version of the operator's row. */
  readonly revision: number;
  /** Since when this holder knows of it, by its monotonic clock and by the time of day. */
  readonly knownSinceMs: number;
  readonly knownSinceDay: number;
  /** No short run is left there. */
  readonly isEmpty: boolean;
};

export type EvacuationWatchOptions = {
  readonly state: BatchState;
  readonly gate: Pick<StartGate, 'belief' | 'ageMs'>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly todayMs: () => number;
};

export type EvacuationWatch = {
  /** Looks at what has changed; to be called several times a second. */
  readonly look: () => void;
  readonly evacuations: () => ReadonlyMap<DataCentreId, WatchedEvacuation>;
  /** The version of the operator's rows that is known here. */
  readonly revision: () => number;
  /** For how long newer rows may have gone unheard. */
  readonly ageMs: () => number;
  /** The gauges no longer tell anything. */
  readonly close: () => void;
};

const gaugeOf = (dataCentre: DataCentreId): string =>
  `evacuated_runs_left{data_centre=${JSON.stringify(dataCentre)}}`;

/**
 * Builds the watch of a term.
 *
 * @param options - What is believed of evacuations, and what runs.
 * @returns The watch.
 */
export const createEvacuationWatch = ({
  state,
  gate,
  log,
  metrics,
  nowMs,
  todayMs,
}: EvacuationWatchOptions): EvacuationWatch => {
  const watched = new Map<DataCentreId, WatchedEvacuation>();

  const ageMs = (): number => Math.round(gate.ageMs());

  const begin = (dataCentre: DataCentreId, revision: number): void => {
    const { endpoints, shortRuns, longRuns } = countRunsInDataCentre(state, dataCentre);
    const fields = { dataCentre, revision, ageMs: ageMs(), endpoints, shortRuns, longRuns };
    // The operator may have misspelt the name.
    if (endpoints === 0) log.warn('evacuation-begun', fields);
    else log.info('evacuation-begun', fields);
    watched.set(dataCentre, {
      dataCentre,
      revision,
      knownSinceMs: nowMs(),
      knownSinceDay: todayMs(),
      isEmpty: false,
    });
  };

  const lookAtRuns = (evacuation: WatchedEvacuation): void => {
    const { dataCentre, revision, knownSinceMs } = evacuation;
    const { endpoints, shortRuns, longRuns } = countRunsInDataCentre(state, dataCentre);
    metrics.gauge(gaugeOf(dataCentre), shortRuns);
    const isEmpty = shortRuns === 0;
    if (isEmpty === evacuation.isEmpty) return;
    watched.set(dataCentre, { ...evacuation, isEmpty });
    if (!isEmpty || endpoints === 0) return;
    const afterMs = Math.round(nowMs() - knownSinceMs);
    log.info('evacuation-empty', { dataCentre, revision, ageMs: ageMs(), afterMs, longRuns });
  };

  const end = ({ dataCentre, knownSinceMs }: WatchedEvacuation): void => {
    const { revision } = gate.belief();
    const lastedMs = Math.round(nowMs() - knownSinceMs);
    log.info('evacuation-ended', { dataCentre, revision, ageMs: ageMs(), lastedMs });
    metrics.gauge(gaugeOf(dataCentre), 0);
    watched.delete(dataCentre);
  };

  const look = (): void => {
    const { evacuated } = gate.belief();
    evacuated.forEach((revision, dataCentre) => {
      if (!watched.has(dataCentre)) begin(dataCentre, revision);
    });
    Array.from(watched.values())
      .filter(({ dataCentre }) => !evacuated.has(dataCentre))
      .forEach(end);
    watched.forEach(lookAtRuns);
    metrics.gauge('evacuated_data_centres', watched.size);
  };

  return {
    look,
    evacuations: () => watched,
    revision: () => gate.belief().revision,
    ageMs,
    close: () => {
      watched.forEach(({ dataCentre }) => metrics.gauge(gaugeOf(dataCentre), 0));
      metrics.gauge('evacuated_data_centres', 0);
    },
  };
};
