/** A fleet in racks and data centres, for tests of decisions. */
import { brand, type DataCentreId, type EndpointId, type PoolName } from '../../shared/ids.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import type { BatchState, EndpointState } from '../model/state.js';
import { answer, POOL } from './batch-state.fixtures.js';

/** How many racks there are, with how many hosts; racks take turns over the data centres. */
export type RackedFleet = {
  readonly racks: number;
  readonly hostsPerRack: number;
  readonly dataCentres?: number;
  /** False for a fleet whose endpoints have no rack's label. */
  readonly hasRacks?: boolean;
  readonly pool?: PoolName;
};

/** An endpoint of such a fleet. */
export type RackedEndpoint = {
  readonly number: number;
  readonly dataCentre: string;
  /** '' for none. */
  readonly rack: string;
  readonly pool?: PoolName;
};

/**
 * Has an endpoint with room for eight tasks listed.
 *
 * @param state - The state, changed in place.
 * @param endpoint - Where it stands.
 * @returns Its state.
 */
export const seeAt = (
  state: BatchState,
  { number, dataCentre, rack, pool = POOL }: RackedEndpoint,
): EndpointState =>
  seeEndpoint(
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
 * Has a fleet of endpoints listed, of which each has answered.
 *
 * @param state - The state, changed in place.
 * @param fleet - Its racks and data centres.
 * @returns The endpoints, rack by rack.
 */
export const seeFleet = (
  state: BatchState,
  { racks, hostsPerRack, dataCentres = 1, hasRacks = true, pool = POOL }: RackedFleet,
): readonly EndpointState[] =>
  Array.from({ length: racks * hostsPerRack }, (_, number) => {
    const rack = Math.floor(number / hostsPerRack);
    const endpoint = seeAt(state, {
      number,
      dataCentre: `dc-${rack % dataCentres}`,
      rack: hasRacks ? `rack-${rack}` : '',
      pool,
    });
    answer(state, { endpointId: endpoint.endpointId, askedAtMs: 5, nowMs: 10 });
    return endpoint;
  });
