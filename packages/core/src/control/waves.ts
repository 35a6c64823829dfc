/**
 * Maintenance waves: which hosts to empty next. A host may be emptied if all that stands on it
 * finds room elsewhere and if, for every service, the largest correlated loss that the pool
 * reserves for would still leave the availability budget.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';

import type { PlacementHost } from '../placement/placeable.js';
import { rowKey, type HostRow, type WaveRow } from '../rows/rows.js';
import { countBy } from '../shared/group-by.js';
import type { HostId, WaveId } from '../shared/ids.js';
import { withhold, writeHost, writePlacement, writeWave, type Draft } from './draft.js';
import {
  executorsOn,
  poolSpec,
  readyTrial,
  tryDrain,
  type DrainMode,
  type Trial,
} from './wave-trial.js';
import type { WaveStrategy } from './world.js';

const MS_PER_S = 1000;
/** A turn is bounded: after so many hosts that cannot be emptied now, the others wait. */
const MOST_OBSTACLES_PER_TURN = 16;

/** The state of one wave in one turn. */
type WaveView = {
  readonly waveId: WaveId;
  readonly row: WaveRow;
  readonly remaining: readonly PlacementHost[];
  readonly underWay: readonly PlacementHost[];
  readonly maintained: number;
};

const isUnderWay = (row: HostRow, waveId: WaveId): boolean =>
  row.drain?.kind === 'wave' && row.drain.waveId === waveId;

const viewOf = (draft: Draft, waveId: WaveId, row: WaveRow): WaveView => {
  const hosts = row.hosts.flatMap((hostId) => draft.hosts.get(hostId) ?? []);
  const inPool = hosts.filter((host) => host.row.pool === draft.world.pool);
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
  executorsOn(draft, hostId).forEach((placement) => {
    writePlacement(
      draft,
      { ...placement, phase: 'parking' },
      `parked while ${hostId} is maintained`,
    );
  });
};

/**
 * How many hosts may be under way at one time, besides what the budgets allow. A canary comes
 * first. Operators who weigh roll-out most then go as far as the budgets allow; the others grow.
 */
const allowedUnderWay: Record<WaveStrategy, (draft: Draft, view: WaveView) => number> = {
  growing: (draft, { maintained }) => {
    if (maintained === 0) return 1;
    return poolSpec(draft)?.prefer === 'moves' ? maintained * 2 : Infinity;
  },
  'one-host': () => 1,
  rack: () => Infinity,
};

/** The hosts that come into question next, in their order. */
const candidates: Record<WaveStrategy, (view: WaveView) => readonly PlacementHost[]> = {
  growing: ({ remaining }) => pipe(remaining, RA.sortBy(byFewestExecutors)),
  'one-host': ({ remaining }) => remaining,
  rack: ({ remaining, underWay }) => {
    const rack = (underWay[0] ?? remaining[0])?.spec.rack;
    return remaining.filter(({ spec }) => spec.rack === rack);
  },
};

const byFewestExecutors: readonly Ord.Ord<PlacementHost>[] = [
  pipe(
    N.Ord,
    Ord.contramap((host: PlacementHost) => host.used.cores),
  ),
  pipe(
    S.Ord,
    Ord.contramap((host: PlacementHost) => host.spec.hostId as string),
  ),
];

/** While executors start or stop, what stands in the way of a wave may be gone in a moment. */
const isSettled = (draft: Draft): boolean =>
  Array.from(draft.placements.values()).every(
    ({ service, phase, hostId }) =>
      service === null || phase === 'running' || !draft.hosts.get(hostId)?.isLive,
  );

const drainNext = (draft: Draft, view: WaveView): void => {
  const { waveStrategy } = draft.world;
  let trial: Trial = readyTrial(draft);
  let underWay = view.underWay.length;
  let room = allowedUnderWay[waveStrategy](draft, view) - underWay;
  let obstacles = 0;
  const isStuck = underWay === 0 && isSettled(draft);
  const hold = ({ spec }: PlacementHost, why: string): void =>
    withhold(draft, rowKey.host(spec.hostId), `wave ${view.waveId}: ${why}`);
  candidates[waveStrategy](view).forEach((host) => {
    if (room <= 0 || obstacles >= MOST_OBSTACLES_PER_TURN) {
      hold(host, 'waits for the hosts before it');
      return;
    }
    const result = tryDrain(draft, trial, host, isStuck && underWay === 0);
    if ('obstacle' in result) {
      obstacles += 1;
      hold(host, result.obstacle);
      return;
    }
    trial = result.trial;
    room -= 1;
    underWay += 1;
    startDrain(draft, host, view.waveId, result.mode);
  });
};

/**
 * A host that the platform has not seen for so long does not hold up its wave. The list lags by seconds,
 * and a host that reboots, by itself or for the wave, is silent for some 2 minutes: twice that, and a
 * minute. A rack that is lost with three hosts in their reboot must not keep a wave from its end.
 */
const GONE_AFTER_MS = 5 * 60 * 1000;

/** For how long the platform has not seen a host; 0 while it does. */
const silentForMs = ({ world, nowMs }: Draft, hostId: HostId): number => {
  const sighting = world.sightings.get(hostId);
  return sighting?.state === 'gone' ? nowMs - sighting.sinceMs : 0;
};

/** Tells whether a host will not be maintained by its wave: it is gone, or not declared any more. */
const hasLeft = (draft: Draft, { revision = 0 }: WaveRow, hostId: HostId): boolean => {
  const host = draft.hosts.get(hostId);
  // A configuration from before the wave may not declare its hosts yet.
  if (!host) return draft.world.configuration.revision >= revision;
  return silentForMs(draft, hostId) >= GONE_AFTER_MS;
};

const isFinished = (draft: Draft, row: WaveRow, waveId: WaveId): boolean =>
  row.hosts.every(
    (hostId) => draft.hosts.get(hostId)?.row.maintainedBy === waveId || hasLeft(draft, row, hostId),
  );

/** Says of hosts that cannot be taken down how long they have been silent. */
const holdSilent = (draft: Draft, row: WaveRow, waveId: WaveId): void => {
  row.hosts
    .filter((hostId) => draft.hosts.get(hostId)?.row.maintainedBy !== waveId)
    .forEach((hostId) => {
      const silentS = Math.round(silentForMs(draft, hostId) / MS_PER_S);
      if (silentS === 0) return;
      const why = `the platform has not seen it for ${silentS} s; after ${GONE_AFTER_MS / MS_PER_S} s the wave goes on without it`;
      withhold(draft, rowKey.host(hostId), `wave ${waveId}: ${why}`);
    });
};

/** A host that was broken by its maintenance stops the wave until an operator has looked. */
const brokenHosts = (draft: Draft, row: WaveRow, waveId: WaveId): readonly HostId[] =>
  row.hosts.filter((hostId) => {
    const host = draft.hosts.get(hostId)?.row;
    return host?.phase === 'quarantined' && isUnderWay(host, waveId);
  });

const planWave = (draft: Draft, waveId: WaveId, row: WaveRow): void => {
  if (row.phase !== 'running') return;
  const broken = brokenHosts(draft, row, waveId);
  if (broken.length > 0) {
    const reason = `${broken.join(', ')} did not come back; return or replace it, then resume`;
    writeWave(draft, waveId, { ...row, phase: 'paused', reason });
    return;
  }
  if (isFinished(draft, row, waveId)) {
    const missed = row.hosts.filter(
      (hostId) => draft.hosts.get(hostId)?.row.maintainedBy !== waveId,
    );
    const reason =
      missed.length === 0
        ? `all ${row.hosts.length} hosts were maintained`
        : `ended without ${missed.join(', ')}: gone`;
    writeWave(draft, waveId, { ...row, phase: 'done', reason });
    return;
  }
  holdSilent(draft, row, waveId);
  drainNext(draft, viewOf(draft, waveId, row));
};

/**
 * Plans the next hosts of each running wave.
 *
 * @param draft - The working copy, changed in place.
 */
export const planWaves = (draft: Draft): void => {
  draft.world.waves.forEach(({ value }, waveId) => planWave(draft, waveId, value));
};

/**
 * Sums up a wave for an operator.
 *
 * @param hosts - The rows of the wave's hosts.
 * @returns Counts by phase.
 */
export const waveProgress = (hosts: readonly HostRow[]): Record<string, number> =>
  countBy(hosts, ({ phase }) => phase);
