/**
 * The platform's list of hosts in virtual time. The list is stale by `lagMs`, and a silent host is
 * listed as gone only after `silenceTimeoutMs`.
 */
import type { ListedHostState } from '../control/pool-snapshot.js';
import type { DataCentreId, HostId } from '../shared/ids.js';
import type { ModelHost, WorkersModel } from './workers-model.js';

type Listing = { readonly atMs: number; readonly sightings: ReadonlyMap<HostId, ListedHostState> };

export type HostListModel = {
  /** Records the state of all hosts as the platform sees it at `nowMs`. */
  readonly recordListing: (nowMs: number) => void;
  /** Returns the oldest recorded listing that is still kept, which reflects the lag. */
  readonly listedHosts: () => ReadonlyMap<HostId, ListedHostState>;
};

/** Options of the list. Times are in milliseconds of virtual time. */
export type HostListModelOptions = {
  readonly workers: Pick<WorkersModel, 'hosts'>;
  /** Data centres partitioned from the platform: it receives nothing from their hosts. */
  readonly partitionedDataCentres: ReadonlySet<DataCentreId>;
  /** How stale the list is. */
  readonly lagMs: number;
  /** How long after its last sign of life a host is listed as gone. */
  readonly silenceTimeoutMs: number;
};

const presentState = ({ isLeaving, state }: ModelHost): 'leaving' | 'live' =>
  isLeaving || state === 'rebooting' ? 'leaving' : 'live';

/**
 * Builds the list.
 *
 * @param options - The hosts, the partitioned data centres and the times of the model.
 * @returns The list; it is empty until the platform's first observation.
 */
export const createHostListModel = ({
  workers,
  partitionedDataCentres,
  lagMs,
  silenceTimeoutMs,
}: HostListModelOptions): HostListModel => {
  const lastHeardMs = new Map<HostId, number>();
  let listings: readonly Listing[] = [];

  const computeListedState = (
    host: ModelHost,
    previousState: ListedHostState | undefined,
    nowMs: number,
  ) => {
    const isGone = nowMs - (lastHeardMs.get(host.hostId) ?? 0) > silenceTimeoutMs;
    const state = isGone ? 'gone' : presentState(host);
    const sinceMs = previousState?.state === state ? previousState.sinceMs : nowMs;
    return { state, boots: host.boots, sinceMs } as const;
  };

  return {
    recordListing: (nowMs) => {
      const previous = listings[listings.length - 1]?.sightings;
      const sightings = new Map<HostId, ListedHostState>();
      workers.hosts.forEach((host, hostId) => {
        if (host.state !== 'dead' && !partitionedDataCentres.has(host.dataCentre))
          lastHeardMs.set(hostId, nowMs);
        sightings.set(hostId, computeListedState(host, previous?.get(hostId), nowMs));
      });
      const recent = listings.filter(({ atMs }) => nowMs - atMs <= lagMs);
      listings = [...recent, { atMs: nowMs, sightings }];
    },
    listedHosts: () => listings[0]?.sightings ?? new Map(),
  };
};
