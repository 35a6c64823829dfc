/**
 * Maintenance waves: which hosts to empty next. A host may be emptied if all that stands on it
 * finds room elsewhere and if, for every service, the largest correlated loss that the pool
 * reserves for would still leave the availability budget.
 */
import { declarationsOf, findDeclaration } from '../configuration/configuration.js';
import type { DeclarationOf } from '../declarations/schema.js';
import { chooseHost } from '../placement/choose-host.js';
import {
  addResources,
  executorJob,
  type PlacementHost,
  type PlaceableJob,
} from '../placement/placeable.js';
import { rowKey, type HostRow, type PlacementRow, type WaveRow } from '../rows/rows.js';
import { countBy, groupBy } from '../shared/group-by.js';
import type { HostId, JobId, ServiceName, WaveId } from '../shared/ids.js';
import { chooseForExecutor, settledHosts } from './executors.js';
import { withhold, writeHost, writePlacement, writeWave, type Draft } from './draft.js';
import type { WaveStrategy } from './world.js';

type Reserve = DeclarationOf<'Pool'>['spec']['reserveFor'];

/** A turn is bounded: after so many hosts that cannot be emptied now, the others wait. */
const MOST_OBSTACLES_PER_TURN = 16;

/** The domain that is lost together, for each kind of reserve; none is never lost. */
const domainOf: Record<Reserve, (host: PlacementHost) => string | null> = {
  none: () => null,
  host: ({ spec }) => `host=${spec.hostId}`,
  rack: ({ spec }) => `rack=${spec.rack}`,
  'data-centre': ({ spec }) => `data-centre=${spec.dataCentre}`,
};

/** The hosts as they would be if some more were emptied. */
type Trial = Map<HostId, PlacementHost>;

/** Empties a host in a trial, and tells what stands in the way. */
type TryInTrial = (
  draft: Draft,
  trial: Trial,
  host: PlacementHost,
  mayMoveTwice: boolean,
) => string | undefined;

/** The state of one wave in one turn. */
type WaveView = {
  readonly waveId: WaveId;
  readonly row: WaveRow;
  readonly remaining: readonly PlacementHost[];
  readonly underWay: readonly PlacementHost[];
  readonly maintained: number;
};

const poolSpec = (draft: Draft) =>
  findDeclaration(draft.world.configuration, 'Pool', draft.world.pool)?.spec;

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

const isServing = (host: PlacementHost): boolean => host.isLive && host.row.phase === 'assigned';

const executorCounts = (placements: readonly PlacementRow[]): Map<ServiceName, number> => {
  const counts = new Map<ServiceName, number>();
  placements.forEach(({ service }) => {
    if (service !== null) counts.set(service, (counts.get(service) ?? 0) + 1);
  });
  return counts;
};

/**
 * Counts what is ready. An executor that still starts counts only if the one that it replaces is
 * running yet on a draining host; after a loss it does not count until it runs.
 */
const readyTrial = (draft: Draft): Trial => {
  const executors = Array.from(draft.placements.values()).filter(({ service }) => service !== null);
  const onServing = ({ hostId }: PlacementRow): boolean => {
    const host = draft.hosts.get(hostId);
    return host !== undefined && isServing(host);
  };
  const running = executors.filter(({ phase }) => phase === 'running');
  const yetToReplace = countBy(
    running.filter((one) => draft.hosts.get(one.hostId)?.isLive && !onServing(one)),
    ({ service }) => service as string,
  );
  const replacing = executors.filter(({ phase, service }) => {
    const left = yetToReplace[service as string] ?? 0;
    if (phase !== 'assigned' || left === 0) return false;
    yetToReplace[service as string] = left - 1;
    return true;
  });
  const ready = groupBy([...running.filter(onServing), ...replacing], ({ hostId }) => hostId);
  return new Map(
    Array.from(draft.hosts, ([hostId, host]) => [
      hostId,
      {
        ...host,
        executors: executorCounts(ready.get(hostId) ?? []),
      },
    ]),
  );
};

/** How many executors of a service stand on hosts in use, in all and in the worst domain. */
const standingOf = (trial: Trial, service: ServiceName, reserve: Reserve) => {
  const byDomain = new Map<string, number>();
  let total = 0;
  trial.forEach((host) => {
    const here = isServing(host) ? (host.executors.get(service) ?? 0) : 0;
    if (here === 0) return;
    total += here;
    const domain = domainOf[reserve](host);
    if (domain !== null) byDomain.set(domain, (byDomain.get(domain) ?? 0) + here);
  });
  const [worst = ['no loss', 0] as const] = Array.from(byDomain).sort((a, b) => b[1] - a[1]);
  return { total, worstDomain: worst[0], worstLoss: worst[1] };
};

const budgetObstacle = (draft: Draft, trial: Trial, reserve: Reserve): string | undefined => {
  const broken = declarationsOf(draft.world.configuration, 'Service')
    .filter(({ spec }) => spec.pool === draft.world.pool)
    .map((service) => ({ service, ...standingOf(trial, service.name as ServiceName, reserve) }))
    .find(({ service, total, worstLoss }) => total - worstLoss < service.spec.minReady);
  if (!broken) return undefined;
  const { service, total, worstDomain, worstLoss } = broken;
  return (
    `${service.name} would have ${total} executors and could lose ${worstLoss} ` +
    `with ${worstDomain}; its minReady is ${service.spec.minReady}`
  );
};

const executorsOn = (draft: Draft, hostId: HostId): readonly PlacementRow[] =>
  Array.from(draft.placements.values()).filter(
    (one) => one.hostId === hostId && one.service !== null && one.phase !== 'stopped',
  );

const jobOf = (draft: Draft, placement: PlacementRow): PlaceableJob | undefined => {
  const { service: name } = placement;
  if (name === null) return undefined;
  const service = findDeclaration(draft.world.configuration, 'Service', name);
  return service && executorJob(service, `trial/${placement.jobId}` as JobId);
};

const settleInTrial = (trial: Trial, hostId: HostId, job: PlaceableJob): void => {
  const host = trial.get(hostId) as PlacementHost;
  const executors = new Map(host.executors);
  const service = job.service as ServiceName;
  executors.set(service, (executors.get(service) ?? 0) + 1);
  trial.set(hostId, { ...host, used: addResources(host.used, job), executors });
};

const emptyInTrial = (trial: Trial, host: PlacementHost): void => {
  trial.set(host.spec.hostId, {
    ...host,
    row: { ...host.row, phase: 'draining' },
    executors: new Map(),
  });
};

/**
 * Moves all that stands on a host elsewhere in the trial; tells what finds no room. An executor
 * goes only where it need not move again, unless the wave could not go on otherwise.
 */
const moveInTrial: TryInTrial = (draft, trial, host, mayMoveTwice) => {
  emptyInTrial(trial, host);
  const unplaced = executorsOn(draft, host.spec.hostId).flatMap((placement) => {
    const job = jobOf(draft, placement);
    if (!job) return [];
    const all = Array.from(trial.values());
    const chosen = mayMoveTwice
      ? chooseForExecutor(draft, job, all)
      : chooseHost(job, settledHosts(draft, all));
    if (chosen.kind === 'none') return [`${placement.jobId} finds no room: ${chosen.reason}`];
    settleInTrial(trial, chosen.hostId, job);
    return [];
  });
  return unplaced[0];
};

/** Keeps the executors on their host, which counts as not serving until it is back. */
const parkInTrial: TryInTrial = (_, trial, host) => {
  emptyInTrial(trial, host);
  return undefined;
};

type DrainMode = 'move' | 'park';

const tryInTrial: Record<DrainMode, TryInTrial> = { move: moveInTrial, park: parkInTrial };

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
 * Operators who weigh moves most keep executors on their host where the budget allows, and wait
 * for that; they are moved only where the wave could not go on otherwise.
 */
const modesFor = (draft: Draft, isOnly: boolean): readonly DrainMode[] => {
  if (poolSpec(draft)?.prefer !== 'moves') return ['move'];
  return isOnly ? ['park', 'move'] : ['park'];
};

const attempt = (
  draft: Draft,
  trial: Trial,
  host: PlacementHost,
  isOnly: boolean,
): { readonly mode: DrainMode; readonly trial: Trial } | { readonly obstacle: string } => {
  const reserve = poolSpec(draft)?.reserveFor ?? 'rack';
  const obstacles: string[] = [];
  const modes = modesFor(draft, isOnly);
  for (let index = 0; index < modes.length; index += 1) {
    const mode = modes[index] as DrainMode;
    const next: Trial = new Map(trial);
    const obstacle =
      tryInTrial[mode](draft, next, host, isOnly) ?? budgetObstacle(draft, next, reserve);
    if (obstacle === undefined) return { mode, trial: next };
    obstacles.push(obstacle);
  }
  return { obstacle: obstacles[obstacles.length - 1] ?? 'no way to drain it' };
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
  growing: ({ remaining }) => [...remaining].sort(byFewestExecutors),
  'one-host': ({ remaining }) => remaining,
  rack: ({ remaining, underWay }) => {
    const rack = (underWay[0] ?? remaining[0])?.spec.rack;
    return remaining.filter(({ spec }) => spec.rack === rack);
  },
};

const byFewestExecutors = (a: PlacementHost, b: PlacementHost): number =>
  a.used.cores - b.used.cores || (a.spec.hostId < b.spec.hostId ? -1 : 1);

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
    const result = attempt(draft, trial, host, isStuck && underWay === 0);
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

const isFinished = (draft: Draft, row: WaveRow, waveId: WaveId): boolean =>
  row.hosts.every((hostId) => {
    const host = draft.hosts.get(hostId);
    return !host || !host.isLive || host.row.maintainedBy === waveId;
  });

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
