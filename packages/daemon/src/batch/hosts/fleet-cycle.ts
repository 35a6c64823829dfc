/** Orders to hosts, by the holder alone: moves between pools, and maintenance of waves. */
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
  type UpkeepWorld,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { EndpointId, EntryId, HostId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { GoneEvidence } from '../endpoints/endpoint-roster.js';
import { createHostRoster } from './host-roster.js';
import type { BatchPlatform } from '../ports.js';
import { createWaveKeeper, type KnownWave } from './wave-keeper.js';

/** Pause between cycles: a wave of 26 s over 15 hosts leaves no second idle. */
const CYCLE_MS = 250;
/** The list is read at least so often; while hosts change, at each cycle. */
const LIST_EVERY_MS = 1000;
const LIST_BUSY_MS = 400;
/** The platform's list of hosts may lag. */
const LIST_LAG_MS = 300;
const NOTE_POOLS_MS = 1000;
/** A host that was ordered to move is left alone for so long. */
const MOVE_SETTLES_MS = 3000;

export type FleetCycleOptions = {
  readonly self: EntryId;
  readonly fence: number;
  readonly fenceCheck: RowCheck;
  readonly platform: BatchPlatform;
  readonly state: BatchState;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly todayMs: () => number;
  readonly mayOrder: () => boolean;
  /** No order is sent before this time of the term. */
  readonly orderAfterMs: number;
  readonly configuration: () => QueueIndex | undefined;
  readonly dropEndpoint: (endpointId: EndpointId, evidence: GoneEvidence) => void;
};

export type FleetCycle = {
  readonly everyMs: number;
  /** Orders what is due of moves and waves. */
  readonly run: () => Promise<void>;
  /** Reads and writes how waves stand; apart from `run`, which must not wait for the table. */
  readonly follow: () => Promise<void>;
  readonly refreshHosts: () => Promise<void>;
  readonly takeWaves: (known: readonly KnownWave[]) => void;
  /** How long no host has been ordered. */
  readonly idleMs: () => number;
  readonly inventory: () => HostInventory;
  readonly waves: () => readonly MaintenanceWave[];
  /** True if each host of a wave has been down and is back, or has left for good. */
  readonly isComplete: (wave: MaintenanceWave) => boolean;
};

/**
 * Builds the cycle over hosts of one term.
 *
 * @param options - The term.
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
  todayMs,
  mayOrder,
  orderAfterMs,
  configuration,
  dropEndpoint,
}: FleetCycleOptions): FleetCycle => {
  const bornAtMs = nowMs();
  const orderer = { holder: self, fence };
  const movedAtMs = new Map<HostId, number>();
  const unsettled = new Map<HostId, PoolMove>();
  let notedPoolsAtMs = -Infinity;
  /** Before the first order of this term, that of an earlier one may be as recent. */
  let lastOrderAtMs = bornAtMs;

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
    Array.from(movedAtMs.values()).some((atMs) => nowMs() - atMs < MOVE_SETTLES_MS) ||
    waveKeeper.waves().some((wave) => !waveKeeper.isComplete(wave));

  const poolWorld = (): PoolPlanInput => ({
    state,
    hosts: roster.inventory().hosts,
    pools: configuration()?.configuration.pools ?? [],
    busyHosts: busyHosts(),
    nowMs: nowMs(),
  });

  const sight = (): KnownHosts => ({
    inventory: roster.inventory(),
    downMs: platform.bounds().maintenanceMs + LIST_LAG_MS,
  });

  const waveKeeper = createWaveKeeper({ platform, fenceCheck, sight, log, nowMs, todayMs });

  const world = (): UpkeepWorld => ({
    ...sight(),
    state,
    isCapacityShort: isAnyPoolShort(poolWorld()),
  });

  const take = async ({ wave, hostId, reason }: HostMaintenanceOrder): Promise<void> => {
    const { waveNumber } = wave.request;
    lastOrderAtMs = nowMs();
    const { outcome, detail } = await platform.hosts.maintain(orderer, { hostId, waveNumber });
    metrics.count(`host_maintain_${outcome}`);
    log.info('host-maintained', { wave: waveNumber, host: hostId, outcome, detail, reason });
    applyOrderOutcome(wave, hostId, outcome, nowMs());
  };

  const move = async ({ hostId, fromPool, toPool, reason }: PoolMove): Promise<void> => {
    lastOrderAtMs = nowMs();
    movedAtMs.set(hostId, nowMs());
    const endpoint = endpointOn(hostId);
    // Nothing may be placed there between the order and its effect, which may come late.
    if (endpoint) endpoint.isCordoned = true;
    const { outcome, detail } = await platform.hosts.move(orderer, { hostId, toPool });
    metrics.count(`host_move_${outcome}`);
    log.info('host-moved', { host: hostId, fromPool, toPool, outcome, detail, reason });
    if (outcome === 'unknown') unsettled.set(hostId, { hostId, fromPool, toPool, reason });
    else unsettled.delete(hostId);
    if (endpoint && (outcome === 'busy' || outcome === 'refused')) endpoint.isCordoned = false;
  };

  /** Hosts of waves that are not through: a move would only delay them. */
  const busyHosts = (): ReadonlySet<HostId> => {
    const inWaves = waveKeeper.waves().flatMap((wave) =>
      Array.from(wave.hosts)
        .filter(([, { phase }]) => phase === 'closing' || phase === 'asked' || phase === 'down')
        .map(([hostId]) => hostId),
    );
    const moving = Array.from(movedAtMs)
      .filter(([, atMs]) => nowMs() - atMs < MOVE_SETTLES_MS)
      .map(([hostId]) => hostId);
    return new Set([...inWaves, ...moving, ...unsettled.keys()]);
  };

  /** Tells once a second what each pool has and needs. */
  const notePools = (): void => {
    if (nowMs() - notedPoolsAtMs < NOTE_POOLS_MS) return;
    notedPoolsAtMs = nowMs();
    computePoolNeeds(poolWorld()).forEach((need) => {
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

  /** Moves hosts; true if any order was sent. */
  const moveHosts = async (): Promise<boolean> => {
    if (!configuration()) return false;
    notePools();
    const pools = poolWorld();
    const needs = computePoolNeeds(pools);
    change(state, { reclaimedEndpoints: planReclaims(pools, DEFAULT_POOL_POLICY, needs) });
    updatePoolForecasts(pools, DEFAULT_POOL_POLICY, needs);
    const planned = planMoves(pools, DEFAULT_POOL_POLICY, needs);
    // An order without an answer is repeated: it may be carried out late, whatever is decided now.
    const moves = [...Array.from(unsettled.values()), ...planned];
    await Promise.all(moves.map(move));
    return moves.length > 0;
  };

  const run = async (): Promise<void> => {
    const ageMs = nowMs() - roster.inventory().lastRequestedAtMs;
    if (ageMs > (isBusy() ? LIST_BUSY_MS : LIST_EVERY_MS)) await roster.refresh();
    observePeaks(poolWorld()).forEach((pool) => log.info('peak-begun', { pool }));
    if (!mayOrder() || nowMs() - bornAtMs < orderAfterMs) return;
    Object.assign(state, { clockMs: nowMs() });
    const steps = planMaintenance(world(), waveKeeper.waves(), nowMs());
    waveKeeper.noteReasons();
    await Promise.all(steps.map(take));
    // An order to a host that was ordered so before is answered alike: the list shows what it did.
    if (steps.length > 0) await roster.refresh();
    if (mayOrder() && (await moveHosts())) await roster.refresh();
  };

  return {
    everyMs: CYCLE_MS,
    run,
    follow: waveKeeper.follow,
    refreshHosts: roster.refresh,
    takeWaves: waveKeeper.take,
    idleMs: () => nowMs() - lastOrderAtMs,
    inventory: roster.inventory,
    waves: waveKeeper.waves,
    isComplete: waveKeeper.isComplete,
  };
};
