/** The platform's list of hosts in virtual time: it lags, and shows late that a host is not heard of. */
import type { ListedHostState } from '../control/world.js';
import type { DataCentreId, HostId } from '../shared/ids.js';
import type { ModelHost, WorkersModel } from './workers-model.js';

type Listing = { readonly atMs: number; readonly sightings: ReadonlyMap<HostId, ListedHostState> };

export type HostListModel = {
  /** Lets the platform look at all hosts. */
  readonly look: (nowMs: number) => void;
  /** What the list shows by now. */
  readonly sightings: () => ReadonlyMap<HostId, ListedHostState>;
};

/** Options for the list. Times are in milliseconds of virtual time. */
export type HostListModelOptions = {
  readonly workers: Pick<WorkersModel, 'hosts'>;
  /** Data centres from which the platform hears nothing. */
  readonly cut: ReadonlySet<DataCentreId>;
  readonly lagMs: number;
  readonly goneAfterMs: number;
};

const presentState = ({ isLeaving, state }: ModelHost): 'leaving' | 'live' =>
  isLeaving || state === 'rebooting' ? 'leaving' : 'live';

/**
 * Builds the list.
 *
 * @param options - The hosts, the cuts and the times of the model.
 * @returns The list; it shows nothing before the first look.
 */
export const createHostListModel = ({
  workers,
  cut,
  lagMs,
  goneAfterMs,
}: HostListModelOptions): HostListModel => {
  const heardMs = new Map<HostId, number>();
  let listings: readonly Listing[] = [];

  const sightingOf = (host: ModelHost, last: ListedHostState | undefined, nowMs: number) => {
    const isGone = nowMs - (heardMs.get(host.hostId) ?? 0) > goneAfterMs;
    const state = isGone ? 'gone' : presentState(host);
    const sinceMs = last?.state === state ? last.sinceMs : nowMs;
    return { state, boots: host.boots, sinceMs } as const;
  };

  return {
    look: (nowMs) => {
      const known = listings[listings.length - 1]?.sightings;
      const sightings = new Map<HostId, ListedHostState>();
      workers.hosts.forEach((host, hostId) => {
        if (host.state !== 'dead' && !cut.has(host.dataCentre)) heardMs.set(hostId, nowMs);
        sightings.set(hostId, sightingOf(host, known?.get(hostId), nowMs));
      });
      const recent = listings.filter(({ atMs }) => nowMs - atMs <= lagMs);
      listings = [...recent, { atMs: nowMs, sightings }];
    },
    sightings: () => listings[0]?.sightings ?? new Map(),
  };
};
