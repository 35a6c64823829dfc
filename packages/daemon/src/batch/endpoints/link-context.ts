/** The dependencies that all endpoint links of a control term share. */
import type { BatchState, SharedDelayEstimator, OrderWindow } from '@valvelatch/core/batch';
import type { DataCentreId, EndpointId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { EndpointOrders } from '../ports.js';

/** The state, services and callbacks of the control term that a link belongs to. */
export type LinkContext = {
  readonly state: BatchState;
  readonly orders: EndpointOrders;
  /** Estimates the delay that affects the responses of all endpoints. */
  readonly sharedDelayEstimator: SharedDelayEstimator;
  /** Limits the start orders in flight to all endpoints. */
  readonly orderWindow: OrderWindow;
  /** For how long an endpoint keeps its runs without contact with the holder, in milliseconds. */
  readonly endpointLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The holder's monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** True while this entry is certainly the holder. */
  readonly isCertainlyHolder: () => boolean;
  /** False if the data centre is evacuated, or may have been evacuated without this entry having learned of it. */
  readonly isStartAllowedIn: (dataCentre: DataCentreId) => boolean;
  /** Requests a scheduling cycle, because tasks may be placeable now. */
  readonly requestScheduling: () => void;
  /** Requests that the applied ends of runs are stored. */
  readonly requestSave: () => void;
  /** An endpoint rejected an order because of its fence: it knows a later holder. */
  readonly onFenceLost: () => void;
  /** The address of this endpoint belongs to another one, which has just responded. */
  readonly onReplaced: (endpointId: EndpointId) => void;
  /** A later incarnation of the endpoint has just responded. */
  readonly onRestarted: (endpointId: EndpointId) => void;
};
