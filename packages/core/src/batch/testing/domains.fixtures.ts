/** Fleets spread over racks and data centres, for unit tests. */
import { brand, type DataCentreId, type EndpointId, type PoolName } from '../../shared/ids.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import type { BatchState, EndpointState } from '../model/state.js';
import { applyAnswer, POOL } from './batch-state.fixtures.js';

/** The size and layout of a fleet. Racks are assigned to the data centres in turn. */
export type RackedFleet = {
  readonly racks: number;
  readonly hostsPerRack: number;
  /** The number of data centres; 1 by default. */
  readonly dataCentres?: number;
  /** False for a fleet whose endpoints have no rack label. */
  readonly hasRacks?: boolean;
  readonly pool?: PoolName;
};

/** An endpoint of such a fleet, with its location. */
export type RackedEndpoint = {
  /** The number from which the ids of the endpoint and its host are derived. */
  readonly number: number;
  readonly dataCentre: string;
  /** The rack label; '' for none. */
  readonly rack: string;
  readonly pool?: PoolName;
};

/**
 * Adds an endpoint with capacity for eight tasks at a given location.
 *
 * @param state - The state, changed in place.
 * @param endpoint - The endpoint's number and location.
 * @returns The state of the endpoint.
 */
export const addEndpointAt = (
  state: BatchState,
  { number, dataCentre, rack, pool = POOL }: RackedEndpoint,
): EndpointState =>
  upsertEndpoint(
    state,
    {
      endpointId: brand<EndpointId>(`i-${String(number).padStart(10, '0')}`),
      pool,
      hostId: brand(`h-${number}`),
      address: '',
      dataCentre: brand<DataCentreId>(dataCentre),
      labels: rack === '' ? ['ssd'] : ['ssd', rack, 'amd64'],
      capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      isDraining: false,
    },
    0,
  );

/**
 * Adds a fleet of endpoints, each of which has sent its first report.
 *
 * @param state - The state, changed in place.
 * @param fleet - The size and layout of the fleet.
 * @returns The endpoints in rack order.
 */
export const addFleet = (
  state: BatchState,
  { racks, hostsPerRack, dataCentres = 1, hasRacks = true, pool = POOL }: RackedFleet,
): readonly EndpointState[] =>
  Array.from({ length: racks * hostsPerRack }, (_, number) => {
    const rack = Math.floor(number / hostsPerRack);
    const endpoint = addEndpointAt(state, {
      number,
      dataCentre: `dc-${rack % dataCentres}`,
      rack: hasRacks ? `rack-${rack}` : '',
      pool,
    });
    applyAnswer(state, { endpointId: endpoint.endpointId, requestedAtMs: 5, nowMs: 10 });
    return endpoint;
  });
