/**
 * Decides which hosts a maintenance wave empties next. A host may be emptied if all its executors fit
 * on other hosts (or may be parked on it) and if, for every service, the availability budget would
 * still hold after the largest correlated loss that the pool reserves for.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';

import type { PlacementHost } from '../placement/placement-input.js';
import { rowKey, type HostRow, type WaveRow } from '../rows/rows.js';
import { countBy } from '../shared/group-by.js';
import type { HostId, WaveId } from '../shared/ids.js';
import { recordWithheldAction, writeHost, writePlacement, writeWave, type Draft } from './draft.js';
import {
  listExecutorsOn,
  poolSpec,
  simulateReadyHosts,
  simulateDrain,
  type DrainMode,
  type SimulatedHosts,
} from './drain-simulation.js';
import type { WaveStrategy } from './pool-snapshot.js';

const MS_PER_S = 1000;
/**
 * Bounds the work of a turn: after this many hosts that cannot be emptied now, the remaining hosts
 * are not tried in this turn.
 */
const MAX_OBSTACLES_PER_TURN = 16;

/** The state of one wave at one turn. */
type WaveView = {
  readonly waveId: WaveId;
  readonly row: WaveRow;
  /** Hosts of the pool that are in use and that the wave has yet to maintain. */
  readonly remaining: readonly PlacementHost[];
  /** Hosts that are being drained, rebooted or verified for the wave, or that broke in it. */
  readonly underWay: readonly PlacementHost[];
  /** The number of hosts that the wave has maintained. */
  readonly maintained: number;
};

const isUnderWay = (row: HostRow, waveId: WaveId): boolean =>
  row.drain?.kind === 'wave' && row.drain.waveId === waveId;

const createWaveView = (draft: Draft, waveId: WaveId, row: WaveRow): WaveView => {
  const hosts = row.hosts.flatMap((hostId) => draft.hosts.get(hostId) ?? []);
  const inPool = hosts.filter((host) => host.row.pool === draft.snapshot.pool);
  return {
    waveId,
    row,
    remaining: inPool.filter(
      (host) => host.isLive && host.row.phase === 'assigned' && host.row.maintainedBy !== waveId,
    ),
    underWay: hosts.filter((host) => isUnderWay(host.row, waveId)),
    maintained: hosts.filter((host) => host.row.maintainedBy === waveId).length,
  };
};

const startDrain = (draft: Draft, host: PlacementHost, waveId: WaveId, mode: DrainMode): void => {
  const { hostId } = host.spec;
  writeHost(draft, {
    ...host.row,
    phase: 'draining',
    drain: { kind: 'wave', waveId },
    reason: `wave ${waveId}: drained by ${mode === 'move' ? 'moving' : 'parking'} its executors`,
  });
  if (mode === 'move') return;
  listExecutorsOn(draft, hostId).forEach((placement) => {
    writePlacement(
      draft,
      { ...placement, phase: 'parking' },
      `parked while ${hostId} is maintained`,
    );
  });
};

/**
 * The number of hosts that may be under way at the same time, in addition to the limit that the
 * budgets set. A growing wave starts with a single host as a canary. After that, only the budgets
 * limit it, unless the pool has `prefer: moves`: then it may have twice as many hosts under way as it
 * has maintained.
 */
const maxUnderWay: Record<WaveStrategy, (draft: Draft, view: WaveView) => number> = {
  growing: (draft, { maintained }) => {
    if (maintained === 0) return 1;
    return poolSpec(draft)?.prefer === 'moves' ? maintained * 2 : Infinity;
  },
  'one-host': () => 1,
  rack: () => Infinity,
};

/** The hosts that may be drained next, in the order in which they are tried. */
const candidatesByStrategy: Record<WaveStrategy, (view: WaveView) => readonly PlacementHost[]> = {
  growing: ({ remaining }) => pipe(remaining, RA.sortBy(byUsedCores)),
  'one-host': ({ remaining }) => remaining,
  rack: ({ remaining, underWay }) => {
    const rack = (underWay[0] ?? remaining[0])?.spec.rack;
    return remaining.filter(({ spec }) => spec.rack === rack);
  },
};

const byUsedCores: readonly Ord.Ord<PlacementHost>[] = [
  pipe(
    N.Ord,
    Ord.contramap((host: PlacementHost) => host.used.cores),
  ),
  pipe(
    S.Ord,
    Ord.contramap((host: PlacementHost) => host.spec.hostId as string),
  ),
];

/**
 * Tells whether every executor on a live host is running. While one starts or stops, the obstacle of
 * a wave may be about to disappear, so the wave does not count as blocked.
 */
const areExecutorsSettled = (draft: Draft): boolean =>
  Array.from(draft.placements.values()).every(
    ({ service, phase, hostId }) =>
      service === null || phase === 'running' || !draft.hosts.get(hostId)?.isLive,
  );

const drainNext = (draft: Draft, view: WaveView): void => {
  const { waveStrategy } = draft.snapshot;
  let simulated: SimulatedHosts = simulateReadyHosts(draft);
  let underWay = view.underWay.length;
  let freeSlots = maxUnderWay[waveStrategy](draft, view) - underWay;
  let obstacles = 0;
  const isWaveBlocked = underWay === 0 && areExecutorsSettled(draft);
  const withholdHost = ({ spec }: PlacementHost, reason: string): void =>
    recordWithheldAction(draft, rowKey.host(spec.hostId), `wave ${view.waveId}: ${reason}`);
  candidatesByStrategy[waveStrategy](view).forEach((host) => {
    if (freeSlots <= 0 || obstacles >= MAX_OBSTACLES_PER_TURN) {
      withholdHost(host, 'waits for the hosts before it');
      return;
    }
    const result = simulateDrain(draft, simulated, host, isWaveBlocked && underWay === 0);
    if ('obstacle' in result) {
      obstacles += 1;
      withholdHost(host, result.obstacle);
      return;
    }
    simulated = result.simulated;
    freeSlots -= 1;
    underWay += 1;
    startDrain(draft, host, view.waveId, result.mode);
  });
};

/**
 * A wave ends without a host that the platform has not seen for this time. The platform's list lags
 * by seconds, and a host that reboots, by itself or for the wave, is unseen for about 2 minutes. The
 * limit is twice that plus one minute. Without a limit, the loss of a rack with three hosts in their
 * reboot would keep the wave from ending.
 */
const MAX_UNSEEN_MS = 5 * 60 * 1000;

/** For how many milliseconds the platform has not seen a host; 0 while it sees the host. */
const unseenForMs = ({ snapshot, nowMs }: Draft, hostId: HostId): number => {
  const sighting = snapshot.listedHosts.get(hostId);
  return sighting?.state === 'gone' ? nowMs - sighting.sinceMs : 0;
};

/** Tells whether the wave ends without a host, because it is gone or no longer declared. */
const isExcluded = (draft: Draft, { revision = 0 }: WaveRow, hostId: HostId): boolean => {
  const host = draft.hosts.get(hostId);
  // A configuration that is older than the wave may not declare all of the wave's hosts yet.
  if (!host) return draft.snapshot.configuration.revision >= revision;
  return unseenForMs(draft, hostId) >= MAX_UNSEEN_MS;
};

const isFinished = (draft: Draft, row: WaveRow, waveId: WaveId): boolean =>
  row.hosts.every(
    (hostId) =>
      draft.hosts.get(hostId)?.row.maintainedBy === waveId || isExcluded(draft, row, hostId),
  );

/** Records, for hosts that the wave cannot drain, for how long the platform has not seen them. */
const withholdUnseenHosts = (draft: Draft, row: WaveRow, waveId: WaveId): void => {
  row.hosts
    .filter((hostId) => draft.hosts.get(hostId)?.row.maintainedBy !== waveId)
    .forEach((hostId) => {
      const unseenS = Math.round(unseenForMs(draft, hostId) / MS_PER_S);
      if (unseenS === 0) return;
      const reason = `the platform has not seen it for ${unseenS} s; after ${MAX_UNSEEN_MS / MS_PER_S} s the wave goes on without it`;
      recordWithheldAction(draft, rowKey.host(hostId), `wave ${waveId}: ${reason}`);
    });
};

/**
 * Lists the hosts that did not come back from their maintenance by this wave. They pause the wave
 * until an operator has dealt with them.
 */
const hostsFailedInWave = (draft: Draft, row: WaveRow, waveId: WaveId): readonly HostId[] =>
  row.hosts.filter((hostId) => {
    const host = draft.hosts.get(hostId)?.row;
    return host?.phase === 'quarantined' && isUnderWay(host, waveId);
  });

const planWave = (draft: Draft, waveId: WaveId, row: WaveRow): void => {
  if (row.phase !== 'running') return;
  const failed = hostsFailedInWave(draft, row, waveId);
  if (failed.length > 0) {
    const reason = `${failed.join(', ')} did not come back; return or replace it, then resume`;
    writeWave(draft, waveId, { ...row, phase: 'paused', reason });
    return;
  }
  if (isFinished(draft, row, waveId)) {
    const unmaintained = row.hosts.filter(
      (hostId) => draft.hosts.get(hostId)?.row.maintainedBy !== waveId,
    );
    const reason =
      unmaintained.length === 0
        ? `all ${row.hosts.length} hosts were maintained`
        : `ended without ${unmaintained.join(', ')}: gone`;
    writeWave(draft, waveId, { ...row, phase: 'done', reason });
    return;
  }
  withholdUnseenHosts(draft, row, waveId);
  drainNext(draft, createWaveView(draft, waveId, row));
};

/**
 * Drains the next hosts of each running wave, and pauses or ends waves.
 *
 * @param draft - The working copy, changed in place.
 */
export const planWaves = (draft: Draft): void => {
  draft.snapshot.waves.forEach(({ value }, waveId) => planWave(draft, waveId, value));
};

/**
 * Summarizes the progress of a wave for an operator.
 *
 * @param hosts - The rows of the wave's hosts.
 * @returns The number of hosts by phase.
 */
export const countHostsByPhase = (hosts: readonly HostRow[]): Record<string, number> =>
  countBy(hosts, ({ phase }) => phase);
