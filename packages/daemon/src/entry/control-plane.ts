/** Control plane of an entry: controls the pools whose leases it holds and the workers of its data centre. */
import {
  controlPrefixes,
  listDeclaredHosts,
  listDeclarations,
  storeDecision,
  type Configuration,
  type ControlChange,
  type DataCentreId,
  type DecisionStore,
  type EntryId,
  type HostId,
  type PoolName,
  type WithheldAction,
} from '@valvelatch/core';

import { createCachedRowsReader, type HostListClient } from '@valvelatch/platform';

import { createDataCentreAgent, type DataCentreAgent } from '../control/data-centre-agent.js';
import {
  formatControlLeaseName,
  createPoolControl,
  toPoolName,
  type PoolControl,
} from '../control/pool-control.js';
import type { EndpointDirectory } from '../data-path/endpoint-directory.js';
import { createLeaseManager } from '../leases/lease-manager.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { SeatManager } from '../seats/seat-manager.js';
import type { Clients } from './clients.js';

/** Control plane of an entry. */
export type ControlPlane = {
  /** Carries out placements at the workers of this data centre. */
  readonly agent: DataCentreAgent;
  /** Runs the control of each pool that this entry controls or may take over. */
  readonly tick: () => Promise<void>;
  /** The pools whose control lease this entry holds. */
  readonly heldPools: () => readonly PoolName[];
  /** Actions that the last turn of each pool considered and did not take, with the reasons. */
  readonly withheldActions: () => readonly WithheldAction[];
  /** Releases the control leases of all pools. */
  readonly release: () => Promise<void>;
};

export type ControlPlaneOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  readonly clients: Clients;
  readonly configuration: () => Configuration;
  readonly directory: EndpointDirectory;
  readonly seatKeeper: SeatManager;
  /** Asks another entry whether it has no request in flight at an endpoint; false if it does not answer. */
  readonly askIfIdle: (holder: EntryId, endpointId: string) => Promise<boolean>;
  /** Whether this entry is one of the few that compete for a duty. */
  readonly isCandidate: (duty: string) => boolean;
  /** Duration of the control leases, in milliseconds. */
  readonly leaseMs: number;
  readonly decisions: DecisionStore;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * How long the pools of an entry and its agent share one result of the host list, in milliseconds. The
 * platform's list is delayed in any case, so a cached result does no harm.
 */
const HOST_LIST_CACHE_MS = 400;

const withListCache = (client: HostListClient): HostListClient => {
  let listedAtMs = -Infinity;
  let last: ReturnType<HostListClient['list']> | undefined;
  return {
    ...client,
    list: () => {
      const nowMs = performance.now();
      if (!last || nowMs - listedAtMs > HOST_LIST_CACHE_MS) {
        listedAtMs = nowMs;
        last = client.list();
      }
      return last;
    },
  };
};

const longestRequestTimeoutMs = (configuration: Configuration): number =>
  Math.max(
    0,
    ...listDeclarations(configuration, 'Service').map(({ spec }) => spec.requestTimeoutMs),
  );

/**
 * Creates the control plane.
 *
 * @param options - The clients, the configuration, the endpoints, and how to reach the other entries.
 * @returns The control plane, which holds no lease yet.
 */
export const createControlPlane = ({
  self,
  dataCentre,
  clients,
  configuration,
  directory,
  seatKeeper,
  askIfIdle,
  isCandidate,
  leaseMs,
  decisions,
  log,
  metrics,
}: ControlPlaneOptions): ControlPlane => {
  const { table, workers } = clients;
  const hostList = withListCache(clients.hostList);
  const controls = new Map<PoolName, PoolControl>();
  const rowReader = createCachedRowsReader(table, controlPrefixes);

  /**
   * Whether no entry has a request in flight at an endpoint. Each entry that may send to the endpoint holds a
   * seat of this data centre, so each holder must confirm it, unless its seat lease lapsed so long ago that
   * none of its requests can still be running.
   */
  const isIdle = async (endpointId: string): Promise<boolean> => {
    directory.markLeaving(endpointId);
    if (directory.inFlightCount(endpointId) > 0) return false;
    const graceMs = longestRequestTimeoutMs(configuration());
    const answers = await Promise.all(
      seatKeeper
        .otherSeatHolders()
        .map(
          async (holder) =>
            (await askIfIdle(holder, endpointId)) || seatKeeper.hasStoppedSending(holder, graceMs),
        ),
    );
    return answers.every(Boolean);
  };

  const localHosts = (): ReadonlySet<HostId> =>
    new Set(
      listDeclaredHosts(configuration())
        .filter((spec) => spec.dataCentre === dataCentre)
        .map(({ hostId }) => hostId),
    );

  const agent = createDataCentreAgent({
    dataCentre,
    table,
    workers,
    hostList,
    configuration,
    localHosts,
    observedTasks: directory.tasks,
    isIdle,
    log,
    metrics,
  });

  /** Records a decision so that operators can also ask about subjects that no longer exist. */
  const recordDecision = ({ subject, reason }: ControlChange): void =>
    storeDecision(decisions, {
      subject,
      outcome: 'decided',
      reason,
      revision: configuration().revision,
      tried: [],
      atMs: Date.now(),
    });

  const getOrCreateControl = (pool: PoolName): PoolControl => {
    const existing = controls.get(pool);
    if (existing) return existing;
    const name = formatControlLeaseName(pool);
    const lease = createLeaseManager({ table, name, self, durationMs: leaseMs });
    const created = createPoolControl({
      pool,
      lease,
      table,
      rowReader,
      hostList,
      configuration,
      log,
      metrics,
      onChange: recordDecision,
    });
    controls.set(pool, created);
    return created;
  };

  const isEligible = (pool: PoolName): boolean =>
    controls.get(pool)?.holds() === true || isCandidate(formatControlLeaseName(pool));

  return {
    agent,
    tick: async () => {
      const pools = listDeclarations(configuration(), 'Pool').map(({ name }) => toPoolName(name));
      await Promise.all(pools.filter(isEligible).map((pool) => getOrCreateControl(pool).tick()));
    },
    heldPools: () =>
      Array.from(controls).flatMap(([pool, control]) => (control.holds() ? [pool] : [])),
    withheldActions: () =>
      Array.from(controls.values()).flatMap((control) => control.withheldActions()),
    release: async () => {
      await Promise.all(Array.from(controls.values(), (control) => control.release()));
    },
  };
};
