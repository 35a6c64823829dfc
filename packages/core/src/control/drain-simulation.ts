/**
 * Simulates draining hosts for a wave: computes the state of the hosts if one more were emptied, and
 * checks whether every availability budget would still hold after the largest loss that the pool
 * reserves for.
 */
import { listDeclarations, findDeclaration } from '../configuration/configuration.js';
import type { DeclarationOf } from '../declarations/schema.js';
import { chooseHost } from '../placement/choose-host.js';
import {
  addResources,
  toExecutorJob,
  type PlaceableJob,
  type PlacementHost,
} from '../placement/placement-input.js';
import type { PlacementRow } from '../rows/rows.js';
import { countBy, groupBy } from '../shared/group-by.js';
import type { HostId, JobId, ServiceName } from '../shared/ids.js';
import type { Draft } from './draft.js';
import { chooseExecutorHost, excludeHostsAwaitingMaintenance } from './executors.js';

type Reserve = DeclarationOf<'Pool'>['spec']['reserveFor'];

/** The failure domain of a host, by the kind of reserve; null if the pool reserves for no loss. */
const failureDomainOf: Record<Reserve, (host: PlacementHost) => string | null> = {
  none: () => null,
  host: ({ spec }) => `host=${spec.hostId}`,
  rack: ({ spec }) => `rack=${spec.rack}`,
  'data-centre': ({ spec }) => `data-centre=${spec.dataCentre}`,
};

/** The simulated state of the hosts, as if some more of them were emptied. */
export type SimulatedHosts = Map<HostId, PlacementHost>;

/**
 * Empties a host in the simulation, changing `simulated` in place. Returns the obstacle for
 * operators, or undefined if there is none. With `mayMoveTwice` an executor may be moved to a host
 * that a running wave has yet to maintain.
 */
type SimulateDrain = (
  draft: Draft,
  simulated: SimulatedHosts,
  host: PlacementHost,
  mayMoveTwice: boolean,
) => string | undefined;

/**
 * Finds the declaration of the draft's pool.
 *
 * @param draft - The working copy.
 * @returns The pool's specification, or undefined if the pool is no longer declared.
 */
export const poolSpec = (draft: Draft): DeclarationOf<'Pool'>['spec'] | undefined =>
  findDeclaration(draft.snapshot.configuration, 'Pool', draft.snapshot.pool)?.spec;

const isServing = (host: PlacementHost): boolean => host.isLive && host.row.phase === 'assigned';

const countExecutors = (placements: readonly PlacementRow[]): Map<ServiceName, number> => {
  const counts = new Map<ServiceName, number>();
  placements.forEach(({ service }) => {
    if (service !== null) counts.set(service, (counts.get(service) ?? 0) + 1);
  });
  return counts;
};

/**
 * Starts a simulation from the hosts and their ready executors. An executor that is still starting
 * counts as ready only if the executor that it replaces is still running on a draining host. One that
 * replaces a lost executor does not count until it runs.
 *
 * @param draft - The working copy.
 * @returns The hosts, with the number of executors that are ready or count as ready.
 */
export const simulateReadyHosts = (draft: Draft): SimulatedHosts => {
  const executors = Array.from(draft.placements.values()).filter(({ service }) => service !== null);
  const isOnServingHost = ({ hostId }: PlacementRow): boolean => {
    const host = draft.hosts.get(hostId);
    return host !== undefined && isServing(host);
  };
  const running = executors.filter(({ phase }) => phase === 'running');
  const replaceableByService = countBy(
    running.filter(
      (placement) => draft.hosts.get(placement.hostId)?.isLive && !isOnServingHost(placement),
    ),
    ({ service }) => service as string,
  );
  const replacing = executors.filter(({ phase, service }) => {
    const replaceable = replaceableByService[service as string] ?? 0;
    if (phase !== 'assigned' || replaceable === 0) return false;
    replaceableByService[service as string] = replaceable - 1;
    return true;
  });
  const ready = groupBy([...running.filter(isOnServingHost), ...replacing], ({ hostId }) => hostId);
  return new Map(
    Array.from(draft.hosts, ([hostId, host]) => [
      hostId,
      {
        ...host,
        executorCounts: countExecutors(ready.get(hostId) ?? []),
      },
    ]),
  );
};

/**
 * Counts the ready executors of a service on hosts in use, in total and in the failure domain that
 * has the most of them.
 */
const countReady = (simulated: SimulatedHosts, service: ServiceName, reserve: Reserve) => {
  const byDomain = new Map<string, number>();
  let total = 0;
  simulated.forEach((host) => {
    const readyOnHost = isServing(host) ? (host.executorCounts.get(service) ?? 0) : 0;
    if (readyOnHost === 0) return;
    total += readyOnHost;
    const domain = failureDomainOf[reserve](host);
    if (domain !== null) byDomain.set(domain, (byDomain.get(domain) ?? 0) + readyOnHost);
  });
  const [worst = ['no loss', 0] as const] = Array.from(byDomain).sort((a, b) => b[1] - a[1]);
  return { total, worstDomain: worst[0], worstLoss: worst[1] };
};

/**
 * Finds a service whose availability budget would not hold after the loss that the pool reserves
 * for.
 *
 * @param draft - The working copy.
 * @param simulated - The simulated hosts.
 * @returns The violated budget, described for operators, or undefined if every budget holds.
 */
export const findBudgetViolation = (
  draft: Draft,
  simulated: SimulatedHosts,
): string | undefined => {
  const reserve = poolSpec(draft)?.reserveFor ?? 'rack';
  const violated = listDeclarations(draft.snapshot.configuration, 'Service')
    .filter(({ spec }) => spec.pool === draft.snapshot.pool)
    .map((service) => ({ service, ...countReady(simulated, service.name as ServiceName, reserve) }))
    .find(({ service, total, worstLoss }) => total - worstLoss < service.spec.minReady);
  if (!violated) return undefined;
  const { service, total, worstDomain, worstLoss } = violated;
  return (
    `${service.name} would have ${total} executors and could lose ${worstLoss} ` +
    `with ${worstDomain}; its minReady is ${service.spec.minReady}`
  );
};

/**
 * Lists the executors on a host.
 *
 * @param draft - The working copy.
 * @param hostId - The host.
 * @returns Their placements, without those that have stopped.
 */
export const listExecutorsOn = (draft: Draft, hostId: HostId): readonly PlacementRow[] =>
  Array.from(draft.placements.values()).filter(
    (placement) =>
      placement.hostId === hostId && placement.service !== null && placement.phase !== 'stopped',
  );

const executorJobOf = (draft: Draft, placement: PlacementRow): PlaceableJob | undefined => {
  const { service: name } = placement;
  if (name === null) return undefined;
  const service = findDeclaration(draft.snapshot.configuration, 'Service', name);
  return service && toExecutorJob(service, `trial/${placement.jobId}` as JobId);
};

const simulatePlacement = (simulated: SimulatedHosts, hostId: HostId, job: PlaceableJob): void => {
  const host = simulated.get(hostId) as PlacementHost;
  const executorCounts = new Map(host.executorCounts);
  const service = job.service as ServiceName;
  executorCounts.set(service, (executorCounts.get(service) ?? 0) + 1);
  simulated.set(hostId, { ...host, used: addResources(host.used, job), executorCounts });
};

const simulateEmptying = (simulated: SimulatedHosts, host: PlacementHost): void => {
  simulated.set(host.spec.hostId, {
    ...host,
    row: { ...host.row, phase: 'draining' },
    executorCounts: new Map(),
  });
};

/**
 * Moves all executors of a host to other hosts in the simulation. The obstacle is the first executor
 * that fits on no other host. An executor is moved only to hosts that no running wave has yet to
 * maintain, unless the wave could not continue otherwise.
 */
const simulateMove: SimulateDrain = (draft, simulated, host, mayMoveTwice) => {
  simulateEmptying(simulated, host);
  const unplaced = listExecutorsOn(draft, host.spec.hostId).flatMap((placement) => {
    const job = executorJobOf(draft, placement);
    if (!job) return [];
    const all = Array.from(simulated.values());
    const chosen = mayMoveTwice
      ? chooseExecutorHost(draft, job, all)
      : chooseHost(job, excludeHostsAwaitingMaintenance(draft, all));
    if (chosen.kind === 'none') return [`${placement.jobId} finds no room: ${chosen.reason}`];
    simulatePlacement(simulated, chosen.hostId, job);
    return [];
  });
  return unplaced[0];
};

/**
 * Leaves the executors stopped on their host. The simulated host does not count as serving, as it
 * will not until it is back.
 */
const simulateParking: SimulateDrain = (_, simulated, host) => {
  simulateEmptying(simulated, host);
  return undefined;
};

/** How a host is emptied: its executors are moved, or they stay on it, stopped, until it is back. */
export type DrainMode = 'move' | 'park';

const drainSimulations: Record<DrainMode, SimulateDrain> = {
  move: simulateMove,
  park: simulateParking,
};

/**
 * Lists the drain modes to try, in order. With `prefer: moves`, a pool avoids moves: executors are
 * parked on their hosts, and the wave waits until the budgets allow that. They are moved only if the
 * wave could not continue otherwise.
 */
const drainModesFor = (draft: Draft, isWaveBlocked: boolean): readonly DrainMode[] => {
  if (poolSpec(draft)?.prefer !== 'moves') return ['move'];
  return isWaveBlocked ? ['park', 'move'] : ['park'];
};

/** The result of a simulated drain: the mode and the hosts afterwards, or the obstacle. */
export type DrainSimulation =
  { readonly mode: DrainMode; readonly simulated: SimulatedHosts } | { readonly obstacle: string };

/**
 * Simulates emptying one more host.
 *
 * @param draft - The working copy.
 * @param simulated - The simulated hosts before the drain; not changed.
 * @param host - The host to empty.
 * @param isWaveBlocked - True if no host of the wave is under way and every executor on a live host
 *   is running, so that waiting would not help.
 * @returns The drain mode with the simulated hosts afterwards, or the obstacle of the last mode
 *   tried.
 */
export const simulateDrain = (
  draft: Draft,
  simulated: SimulatedHosts,
  host: PlacementHost,
  isWaveBlocked: boolean,
): DrainSimulation => {
  const obstacles: string[] = [];
  const modes = drainModesFor(draft, isWaveBlocked);
  for (let index = 0; index < modes.length; index += 1) {
    const mode = modes[index] as DrainMode;
    const next: SimulatedHosts = new Map(simulated);
    const obstacle =
      drainSimulations[mode](draft, next, host, isWaveBlocked) ?? findBudgetViolation(draft, next);
    if (obstacle === undefined) return { mode, simulated: next };
    obstacles.push(obstacle);
  }
  return { obstacle: obstacles[obstacles.length - 1] ?? 'no way to drain it' };
};
