/** What a scraper is told of failure domains: a gauge for each data centre. */
import type { BatchState } from '@valvelatch/core/batch';

import type { Metrics } from '../../observe/metrics.js';
import { countSuspects } from '../operators/domain-views.js';

const escaped = (label: string): string => label.replace(/["\\\n]/g, '_');

/** The gauges of one term. */
export type DomainGauges = {
  readonly note: () => void;
  /** Sets all to 0: another entry tells of them from now on. */
  readonly clear: () => void;
};

/**
 * Builds the gauges of a term: how many endpoints of each data centre get no new work as it, or their rack, is suspected.
 *
 * @param state - All that the holder knows.
 * @param metrics - Where the gauges are.
 * @returns What sets them.
 */
export const createDomainGauges = (state: BatchState, metrics: Metrics): DomainGauges => {
  const told = new Set<string>();
  return {
    note: () => {
      const counts = new Map(
        countSuspects(state).map(({ dataCentre, suspected }) => [
          `suspected_endpoints{data_centre="${escaped(dataCentre)}"}`,
          suspected,
        ]),
      );
      counts.forEach((_, name) => told.add(name));
      told.forEach((name) => metrics.gauge(name, counts.get(name) ?? 0));
    },
    clear: () => told.forEach((name) => metrics.gauge(name, 0)),
  };
};
