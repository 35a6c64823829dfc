/** Sends orders to hosts: moves between pools, and maintenance for waves. Runs only at the control holder. */
import {
  applyOrderOutcome,
  DEFAULT_POOL_POLICY,
  isAnyPoolShort,
  computePoolNeeds,
  updatePoolForecasts,
  observePeaks,
  planMoves,
  planReclaims,
  planMaintenance,
  type BatchState,
  type EndpointState,
  type HostInventory,
  type KnownHosts,
  type PoolMove,
  type PoolPlanInput,
  type QueueIndex,
  type HostMaintenanceOrder,
  type MaintenanceWave,
  type MaintenanceContext,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { EndpointId, EntryId, HostId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { GoneEvidence } from '../endpoints/endpoint-roster.js';
import { createHostRoster } from './host-roster.js';
import type { BatchPlatform } from '../ports.js';
import { createWaveTracker, type KnownWave } from './wave-tracker.js';

/** The pause between cycles. It is short because a wave over 15 hosts within 26 s has no second to spare. */
const CYCLE_MS = 250;
/** The age at which the list of hosts is read again. */
const LIST_INTERVAL_MS = 1000;
/** The age at which it is read again while hosts are being moved or maintained. */
const BUSY_LIST_INTERVAL_MS = 400;
/** How far the platform's list of hosts may lag behind the state of the hosts. */
const MAX_LIST_LAG_MS = 300;
/** The interval at which the state of the pools is logged. */
const POOL_LOG_INTERVAL_MS = 1000;
/** A host that was ordered to move is not planned for another move for this time. */
const MOVE_SETTLE_MS = 3000;

export type FleetCycleOptions = {
  readonly self: EntryId;
  /** The fencing token of the term, sent with every order. */
  readonly fence: number;
  /** The condition under which rows are written, so that a former holder writes nothing. */
  readonly fenceCheck: RowCheck;
  readonly platform: BatchPlatform;
  readonly state: BatchState;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The monotonic clock. */
  readonly nowMs: () => number;
  /** The wall clock. */
  readonly wallClockMs: () => number;
  /** True while this entry may send orders. */
  readonly mayOrder: () => boolean;
  /** No order is sent until this time has passed since the start of the term. */
  readonly minTermAgeToOrderMs: number;
  readonly configuration: () => QueueIndex | undefined;
  /** Removes an endpoint that the list of hosts shows to be gone. */
  readonly dropEndpoint: (endpointId: EndpointId, evidence: GoneEvidence) => void;
};

export type FleetCycle = {
  /** The pause between calls of `run`. */
  readonly intervalMs: number;
  /** Reads the list of hosts if it is old, and sends the orders that are due for waves and pool moves. */
  readonly run: () => Promise<void>;
  /** Reads and writes the state of waves. Separate from `run`, which must not wait for the table. */
  readonly syncWaves: () => Promise<void>;
  /** Reads the list of hosts. */
  readonly refreshHosts: () => Promise<void>;
  /** Adds waves that this entry has learned of; those already known are ignored. */
  readonly addWaves: (known: readonly KnownWave[]) => void;
  /** The time since the last order to a host, or since the start of the term if it has sent none. */
  readonly sinceLastOrderMs: () => number;
  /** The hosts as of the last list. */
  readonly inventory: () => HostInventory;
  readonly waves: () => readonly MaintenanceWave[];
  /** True if every host of the wave has been down and is back, or has left the fleet for good. */
  readonly isComplete: (wave: MaintenanceWave) => boolean;
};

/**
 * Creates the fleet cycle of one term.
 *
 * @param options - The term, its state and the platform.
 * @returns The cycle.
 */
export const createFleetCycle = ({
  self,
  fence,
  fenceCheck,
  platform,
  state,
  log,
  metrics,
  nowMs,
  wallClockMs,
  mayOrder,
  minTermAgeToOrderMs,
  configuration,
  dropEndpoint,
}: FleetCycleOptions): FleetCycle => {
  const termStartedAtMs = nowMs();
  const orderer = { holder: self, fence };
  /** When each host was last ordered to move. */
  const movedAtMs = new Map<HostId, number>();
  /** The moves whose order got no answer, so that they may still be carried out. */
  const movesWithoutAnswer = new Map<HostId, PoolMove>();
  let poolsLoggedAtMs = -Infinity;
  /** Starts at the beginning of the term, since an earlier holder may have sent an order just before. */
  let lastOrderAtMs = termStartedAtMs;

  const roster = createHostRoster({
    port: platform.hosts,
    state,
    log,
    metrics,
    nowMs,
    dropEndpoint,
  });

  const endpointOn = (hostId: HostId): EndpointState | undefined => {
    const instanceId = roster.inventory().hosts.get(hostId)?.instanceId;
    return instanceId ? state.currentIncarnations.get(instanceId) : undefined;
  };

  const isBusy = (): boolean =>
    Array.from(movedAtMs.values()).some((atMs) => nowMs() - atMs < MOVE_SETTLE_MS) ||
    waveTracker.waves().some((wave) => !waveTracker.isComplete(wave));

  const poolPlanInput = (): PoolPlanInput => ({
    state,
    hosts: roster.inventory().hosts,
    pools: configuration()?.configuration.pools ?? [],
    busyHosts: busyHosts(),
    nowMs: nowMs(),
  });

  const knownHosts = (): KnownHosts => ({
    inventory: roster.inventory(),
    downMs: platform.bounds().maintenanceMs + MAX_LIST_LAG_MS,
  });

  const waveTracker = createWaveTracker({
    platform,
    fenceCheck,
    knownHosts,
    log,
    nowMs,
    wallClockMs,
  });

  const maintenanceInput = (): MaintenanceContext => ({
    ...knownHosts(),
    state,
    isCapacityShort: isAnyPoolShort(poolPlanInput()),
  });

  const orderMaintenance = async ({
    wave,
    hostId,
    reason,
  }: HostMaintenanceOrder): Promise<void> => {
    const { waveNumber } = wave.request;
    lastOrderAtMs = nowMs();
    const { outcome, detail } = await platform.hosts.maintain(orderer, { hostId, waveNumber });
    metrics.count(`host_maintain_${outcome}`);
    log.info('host-maintained', { wave: waveNumber, host: hostId, outcome, detail, reason });
    applyOrderOutcome(wave, hostId, outcome, nowMs());
  };

  const orderMove = async ({ hostId, fromPool, toPool, reason }: PoolMove): Promise<void> => {
    lastOrderAtMs = nowMs();
    movedAtMs.set(hostId, nowMs());
    const endpoint = endpointOn(hostId);
    // The order may take effect late, and no task may be placed on the host until then.
    if (endpoint) endpoint.isCordoned = true;
    const { outcome, detail } = await platform.hosts.move(orderer, { hostId, toPool });
    metrics.count(`host_move_${outcome}`);
    log.info('host-moved', { host: hostId, fromPool, toPool, outcome, detail, reason });
    if (outcome === 'unknown') movesWithoutAnswer.set(hostId, { hostId, fromPool, toPool, reason });
    else movesWithoutAnswer.delete(hostId);
    if (endpoint && (outcome === 'busy' || outcome === 'refused')) endpoint.isCordoned = false;
  };

  /** The hosts that are not moved: those being maintained, which a move would only delay, and those being moved. */
  const busyHosts = (): ReadonlySet<HostId> => {
    const inWaves = waveTracker.waves().flatMap((wave) =>
      Array.from(wave.hosts)
        .filter(([, { phase }]) => phase === 'closing' || phase === 'asked' || phase === 'down')
        .map(([hostId]) => hostId),
    );
    const moving = Array.from(movedAtMs)
      .filter(([, atMs]) => nowMs() - atMs < MOVE_SETTLE_MS)
      .map(([hostId]) => hostId);
    return new Set([...inWaves, ...moving, ...movesWithoutAnswer.keys()]);
  };

  /** Logs the capacity and the demand of each pool once a second. */
  const logPools = (): void => {
    if (nowMs() - poolsLoggedAtMs < POOL_LOG_INTERVAL_MS) return;
    poolsLoggedAtMs = nowMs();
    computePoolNeeds(poolPlanInput()).forEach((need) => {
      const cores = (cpuMillis: number): number => Math.round(cpuMillis / 100) / 10;
      log.debug('pool-state', {
        pool: need.name,
        hosts: need.hosts.length,
        empty: need.emptyEndpoints.length,
        roomCores: cores(need.capacityCpu),
        comingCores: cores(need.joiningCpu),
        usedCores: cores(need.usedCpu),
        waitingCores: cores(need.waitingCpu),
        expectedCores: cores(need.forecastCpu),
      });
    });
  };

  /** Moves hosts between pools; returns true if it sent any order. */
  const moveHosts = async (): Promise<boolean> => {
    if (!configuration()) return false;
    logPools();
    const input = poolPlanInput();
    const needs = computePoolNeeds(input);
    change(state, { reclaimedEndpoints: planReclaims(input, DEFAULT_POOL_POLICY, needs) });
    updatePoolForecasts(input, DEFAULT_POOL_POLICY, needs);
    const planned = planMoves(input, DEFAULT_POOL_POLICY, needs);
    // An order without an answer is repeated, since it may still be carried out whatever the current plan is.
    const moves = [...Array.from(movesWithoutAnswer.values()), ...planned];
    await Promise.all(moves.map(orderMove));
    return moves.length > 0;
  };

  const run = async (): Promise<void> => {
    const ageMs = nowMs() - roster.inventory().lastRequestedAtMs;
    if (ageMs > (isBusy() ? BUSY_LIST_INTERVAL_MS : LIST_INTERVAL_MS)) await roster.refresh();
    observePeaks(poolPlanInput()).forEach((pool) => log.info('peak-begun', { pool }));
    if (!mayOrder() || nowMs() - termStartedAtMs < minTermAgeToOrderMs) return;
    Object.assign(state, { clockMs: nowMs() });
    const orders = planMaintenance(maintenanceInput(), waveTracker.waves(), nowMs());
    waveTracker.logWaitReasons();
    await Promise.all(orders.map(orderMaintenance));
    // A repeated order gets the same answer as the first one; only the list of hosts shows its effect.
    if (orders.length > 0) await roster.refresh();
    if (mayOrder() && (await moveHosts())) await roster.refresh();
  };

  return {
    intervalMs: CYCLE_MS,
    run,
    syncWaves: waveTracker.sync,
    refreshHosts: roster.refresh,
    addWaves: waveTracker.add,
    sinceLastOrderMs: () => nowMs() - lastOrderAtMs,
    inventory: roster.inventory,
    waves: waveTracker.waves,
    isComplete: waveTracker.isComplete,
  };
};
