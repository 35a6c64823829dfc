/** Metrics of failure domains: one gauge for each data centre. */
import type { BatchState } from '@valvelatch/core/batch';

import type { Metrics } from '../../observe/metrics.js';
import { countSuspectedEndpoints } from '../operators/domain-views.js';

const escapeLabel = (label: string): string => label.replace(/["\\\n]/g, '_');

/** The failure domain gauges of one term. */
export type DomainGauges = {
  /** Sets the gauges from the current state. */
  readonly update: () => void;
  /** Sets all gauges to 0 at the end of the term, as the next holder reports them. */
  readonly clear: () => void;
};

/**
 * Builds the gauges of a term. Each counts the endpoints of a data centre that get no new work because the data centre
 * or their rack is suspected.
 *
 * @param state - The holder's state.
 * @param metrics - The registry of the gauges.
 * @returns The gauges.
 */
export const createDomainGauges = (state: BatchState, metrics: Metrics): DomainGauges => {
  const reportedGauges = new Set<string>();
  return {
    update: () => {
      const counts = new Map(
        countSuspectedEndpoints(state).map(({ dataCentre, suspected }) => [
          `suspected_endpoints{data_centre="${escapeLabel(dataCentre)}"}`,
          suspected,
        ]),
      );
      counts.forEach((_, name) => reportedGauges.add(name));
      reportedGauges.forEach((name) => metrics.gauge(name, counts.get(name) ?? 0));
    },
    clear: () => reportedGauges.forEach((name) => metrics.gauge(name, 0)),
  };
};
