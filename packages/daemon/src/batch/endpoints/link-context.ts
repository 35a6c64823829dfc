/** What the links of a term share. */
import type { BatchState, SharedDelayEstimator, OrderWindow } from '@valvelatch/core/batch';
import type { DataCentreId, EndpointId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { EndpointOrders } from '../ports.js';

/** What a link needs of the term that it belongs to. */
export type LinkContext = {
  readonly state: BatchState;
  readonly orders: EndpointOrders;
  /** What delays the answers of all endpoints alike. */
  readonly linkDelay: SharedDelayEstimator;
  /** Starts under way at all endpoints. */
  readonly window: OrderWindow;
  readonly endpointLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** True while this entry surely is the holder. */
  readonly mayOrder: () => boolean;
  /** True unless a data centre is evacuated, or may be unheard. */
  readonly mayStartIn: (dataCentre: DataCentreId) => boolean;
  /** Something changed: places may be found. */
  readonly poke: () => void;
  /** Ends were applied and are to be written. */
  readonly wantSave: () => void;
  readonly onFenceLost: () => void;
  /** The address belongs to another endpoint, which has answered just now. */
  readonly onReplaced: (endpointId: EndpointId) => void;
  /** A later life of the endpoint has answered just now. */
  readonly onRestarted: (endpointId: EndpointId) => void;
};
