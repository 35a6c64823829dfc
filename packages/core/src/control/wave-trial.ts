/**
 * Trials of a wave: the hosts as they would be if one more were emptied, and whether every budget
 * would still hold after the largest loss that the pool reserves for.
 */
import { declarationsOf, findDeclaration } from '../configuration/configuration.js';
import type { DeclarationOf } from '../declarations/schema.js';
import { chooseHost } from '../placement/choose-host.js';
import {
  addResources,
  executorJob,
  type PlaceableJob,
  type PlacementHost,
} from '../placement/placeable.js';
import type { PlacementRow } from '../rows/rows.js';
import { countBy, groupBy } from '../shared/group-by.js';
import type { HostId, JobId, ServiceName } from '../shared/ids.js';
import type { Draft } from './draft.js';
import { chooseForExecutor, settledHosts } from './executors.js';

type Reserve = DeclarationOf<'Pool'>['spec']['reserveFor'];

/** The domain that is lost together, for each kind of reserve; none is never lost. */
const domainOf: Record<Reserve, (host: PlacementHost) => string | null> = {
  none: () => null,
  host: ({ spec }) => `host=${spec.hostId}`,
  rack: ({ spec }) => `rack=${spec.rack}`,
  'data-centre': ({ spec }) => `data-centre=${spec.dataCentre}`,
};

/** The hosts as they would be if some more were emptied. */
export type Trial = Map<HostId, PlacementHost>;

/** Empties a host in a trial, and tells what stands in the way. */
type TryInTrial = (
  draft: Draft,
  trial: Trial,
  host: PlacementHost,
  mayMoveTwice: boolean,
) => string | undefined;

/**
 * Finds the declaration of the draft's pool.
 *
 * @param draft - The working copy.
 * @returns Its specification, or undefined where it is not declared any more.
 */
export const poolSpec = (draft: Draft): DeclarationOf<'Pool'>['spec'] | undefined =>
  findDeclaration(draft.world.configuration, 'Pool', draft.world.pool)?.spec;

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
 *
 * @param draft - The working copy.
 * @returns The hosts, with the executors that are ready or surely will be.
 */
export const readyTrial = (draft: Draft): Trial => {
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

/**
 * Finds a service whose budget would not survive the loss that the pool reserves for.
 *
 * @param draft - The working copy.
 * @param trial - The hosts as they would be.
 * @returns The obstacle in the operator's terms, or undefined if every budget holds.
 */
export const budgetObstacle = (draft: Draft, trial: Trial): string | undefined => {
  const reserve = poolSpec(draft)?.reserveFor ?? 'rack';
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

/**
 * Lists the executors that stand on a host.
 *
 * @param draft - The working copy.
 * @param hostId - The host.
 * @returns Their placements, but for those that have stopped.
 */
export const executorsOn = (draft: Draft, hostId: HostId): readonly PlacementRow[] =>
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

/** How a host is emptied: its executors move, or stay stopped on it until it is back. */
export type DrainMode = 'move' | 'park';

const tryInTrial: Record<DrainMode, TryInTrial> = { move: moveInTrial, park: parkInTrial };

/**
 * Operators who weigh moves most keep executors on their host where the budget allows, and wait
 * for that; they are moved only where the wave could not go on otherwise.
 */
const modesFor = (draft: Draft, isOnly: boolean): readonly DrainMode[] => {
  if (poolSpec(draft)?.prefer !== 'moves') return ['move'];
  return isOnly ? ['park', 'move'] : ['park'];
};

/** What came of a trial. */
export type TrialOutcome =
  { readonly mode: DrainMode; readonly trial: Trial } | { readonly obstacle: string };

/**
 * Tries to empty one more host.
 *
 * @param draft - The working copy.
 * @param trial - The hosts as they would be before.
 * @param host - The host.
 * @param isOnly - True if the wave could not go on otherwise.
 * @returns How it can be emptied, with the hosts as they would be then, or what stands in the way.
 */
export const tryDrain = (
  draft: Draft,
  trial: Trial,
  host: PlacementHost,
  isOnly: boolean,
): TrialOutcome => {
  const obstacles: string[] = [];
  const modes = modesFor(draft, isOnly);
  for (let index = 0; index < modes.length; index += 1) {
    const mode = modes[index] as DrainMode;
    const next: Trial = new Map(trial);
    const obstacle = tryInTrial[mode](draft, next, host, isOnly) ?? budgetObstacle(draft, next);
    if (obstacle === undefined) return { mode, trial: next };
    obstacles.push(obstacle);
  }
  return { obstacle: obstacles[obstacles.length - 1] ?? 'no way to drain it' };
};
