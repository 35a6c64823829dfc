/** The control work of an entry: the pools whose leases it holds, and its data centre's workers. */
import {
  controlPrefixes,
  declaredHosts,
  declarationsOf,
  rememberDecision,
  type Configuration,
  type ControlChange,
  type DataCentreId,
  type DecisionMemory,
  type EntryId,
  type HostId,
  type PoolName,
  type Withheld,
} from '@valvelatch/core';

import { createPulsedReader, type HostListClient } from '@valvelatch/platform';

import { createDataCentreAgent, type DataCentreAgent } from '../control/data-centre-agent.js';
import {
  controlLeaseName,
  createPoolControl,
  poolName,
  type PoolControl,
} from '../control/pool-control.js';
import type { EndpointDirectory } from '../data-path/endpoint-directory.js';
import { createLeaseKeeper } from '../leases/lease-keeper.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { SeatKeeper } from '../seats/seat-keeper.js';
import type { Clients } from './clients.js';

/** The control work. */
export type ControlPlane = {
  readonly agent: DataCentreAgent;
  /** Takes the turns that are due. */
  readonly tick: () => Promise<void>;
  /** The pools whose control this entry holds. */
  readonly heldPools: () => readonly PoolName[];
  readonly withheld: () => readonly Withheld[];
  readonly release: () => Promise<void>;
};

export type ControlPlaneOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  readonly clients: Clients;
  readonly configuration: () => Configuration;
  readonly directory: EndpointDirectory;
  readonly seatKeeper: SeatKeeper;
  /** Asks another entry whether it has nothing in flight at an endpoint. */
  readonly askQuiet: (holder: EntryId, endpointId: string) => Promise<boolean>;
  /** Whether this entry is one of the few that contend for a duty. */
  readonly isCandidate: (duty: string) => boolean;
  readonly leaseMs: number;
  readonly decisions: DecisionMemory;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** The list lags anyway; the pools of one entry and its agent share one reading for so long. */
const LIST_KEPT_MS = 400;

const withSharedList = (client: HostListClient): HostListClient => {
  let readAtMs = -Infinity;
  let last: ReturnType<HostListClient['list']> | undefined;
  return {
    ...client,
    list: () => {
      const nowMs = performance.now();
      if (!last || nowMs - readAtMs > LIST_KEPT_MS) {
        readAtMs = nowMs;
        last = client.list();
      }
      return last;
    },
  };
};

const longestRequestMs = (configuration: Configuration): number =>
  Math.max(0, ...declarationsOf(configuration, 'Service').map(({ spec }) => spec.requestTimeoutMs));

/**
 * Builds the control work.
 *
 * @param options - The clients, what is known, and the links to the other entries.
 * @returns The control work, with no lease held yet.
 */
export const createControlPlane = ({
  self,
  dataCentre,
  clients,
  configuration,
  directory,
  seatKeeper,
  askQuiet,
  isCandidate,
  leaseMs,
  decisions,
  log,
  metrics,
}: ControlPlaneOptions): ControlPlane => {
  const { table, workers } = clients;
  const hostList = withSharedList(clients.hostList);
  const controls = new Map<PoolName, PoolControl>();
  const rowReader = createPulsedReader(table, controlPrefixes);

  /** Every entry that may send to an endpoint has a seat here; each must say that it is quiet. */
  const isQuiet = async (endpointId: string): Promise<boolean> => {
    directory.markLeaving(endpointId);
    if (directory.inFlightAt(endpointId) > 0) return false;
    const graceMs = longestRequestMs(configuration());
    const answers = await Promise.all(
      seatKeeper
        .otherHolders()
        .map(
          async (holder) =>
            (await askQuiet(holder, endpointId)) || seatKeeper.hasLapsed(holder, graceMs),
        ),
    );
    return answers.every(Boolean);
  };

  const localHosts = (): ReadonlySet<HostId> =>
    new Set(
      declaredHosts(configuration())
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
    tasks: directory.tasks,
    isQuiet,
    log,
    metrics,
  });

  /** So that an operator can ask about what has ended, too. */
  const remember = ({ subject, reason }: ControlChange): void =>
    rememberDecision(decisions, {
      subject,
      outcome: 'decided',
      reason,
      revision: configuration().revision,
      tried: [],
      atMs: Date.now(),
    });

  const controlOf = (pool: PoolName): PoolControl => {
    const known = controls.get(pool);
    if (known) return known;
    const name = controlLeaseName(pool);
    const lease = createLeaseKeeper({ table, name, self, durationMs: leaseMs });
    const built = createPoolControl({
      pool,
      lease,
      table,
      rowReader,
      hostList,
      configuration,
      log,
      metrics,
      onChange: remember,
    });
    controls.set(pool, built);
    return built;
  };

  const isOurs = (pool: PoolName): boolean =>
    controls.get(pool)?.holds() === true || isCandidate(controlLeaseName(pool));

  return {
    agent,
    tick: async () => {
      const pools = declarationsOf(configuration(), 'Pool').map(({ name }) => poolName(name));
      await Promise.all(pools.filter(isOurs).map((pool) => controlOf(pool).tick()));
    },
    heldPools: () =>
      Array.from(controls).flatMap(([pool, control]) => (control.holds() ? [pool] : [])),
    withheld: () => Array.from(controls.values()).flatMap((control) => control.withheld()),
    release: async () => {
      await Promise.all(Array.from(controls.values(), (control) => control.release()));
    },
  };
};
