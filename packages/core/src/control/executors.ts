/**
 * The executors of a service: how many stand, and how they move. A replacement gets an identity of
 * its own and is ready before the one it replaces is stopped, so that a planned move never lowers
 * the number that is ready.
 */
import * as B from 'fp-ts/lib/boolean.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { DeclarationOf } from '../declarations/schema.js';
import { declarationsOf } from '../configuration/configuration.js';
import { chooseHost, type HostChoice } from '../placement/choose-host.js';
import { executorJob, type PlaceableJob, type PlacementHost } from '../placement/placeable.js';
import { rowKey, type PlacementPhase, type PlacementRow } from '../rows/rows.js';
import { brand, type HostId, type JobId, type ServiceName } from '../shared/ids.js';
import { placeOn, removePlacement, withhold, writePlacement, type Draft } from './draft.js';

type ServiceDeclaration = DeclarationOf<'Service'>;

/** How a placement counts towards the executors that a service wants. */
type Standing = 'staying' | 'on-draining-host' | 'on-lost-host' | 'parked' | 'ending';

const endingPhases: Partial<Record<PlacementPhase, Standing>> = {
  stopping: 'ending',
  stopped: 'ending',
  parking: 'parked',
  parked: 'parked',
};

const standingOf = (draft: Draft, placement: PlacementRow): Standing => {
  const host = draft.hosts.get(placement.hostId);
  if (!host || !host.isLive) return 'on-lost-host';
  const ended = endingPhases[placement.phase];
  if (ended !== undefined) return ended;
  return host.row.phase === 'assigned' ? 'staying' : 'on-draining-host';
};

const placementsOf = (draft: Draft, service: ServiceName): readonly PlacementRow[] =>
  Array.from(draft.placements.values()).filter((placement) => placement.service === service);

const firstFreeId = (draft: Draft, service: string): JobId => {
  let index = 0;
  while (draft.placements.has(brand<JobId>(`${service}-${index}`))) index += 1;
  return brand<JobId>(`${service}-${index}`);
};

/**
 * Leaves out the hosts that a running wave is still to take down.
 *
 * @param draft - The working copy.
 * @param hosts - The hosts.
 * @returns Those from which an executor need not move again.
 */
export const settledHosts = (
  draft: Draft,
  hosts: readonly PlacementHost[],
): readonly PlacementHost[] => hosts.filter(({ spec }) => !draft.hostsAhead.has(spec.hostId));

/**
 * Chooses the host for an executor: one that no running wave is still to take down, if there is
 * one that fits.
 *
 * @param draft - The working copy.
 * @param job - The executor.
 * @param hosts - The hosts to choose from.
 * @returns The choice, or why there is none.
 */
export const chooseForExecutor = (
  draft: Draft,
  job: PlaceableJob,
  hosts: readonly PlacementHost[],
): HostChoice => {
  if (draft.hostsAhead.size === 0) return chooseHost(job, hosts);
  const first = chooseHost(job, settledHosts(draft, hosts));
  return first.kind === 'chosen' ? first : chooseHost(job, hosts);
};

const placeOne = (draft: Draft, service: ServiceDeclaration, why: string): boolean => {
  const job = executorJob(service, firstFreeId(draft, service.name));
  const chosen = chooseForExecutor(draft, job, Array.from(draft.hosts.values()));
  if (chosen.kind === 'none') {
    withhold(draft, rowKey.placement(job.jobId), chosen.reason);
    return false;
  }
  placeOn(draft, { job, hostId: chosen.hostId, reason: `${why}; ${chosen.reason}` });
  return true;
};

const fillUp = (draft: Draft, service: ServiceDeclaration, missing: number, why: string): void => {
  let left = missing;
  while (left > 0 && placeOne(draft, service, why)) left -= 1;
};

const isRunning = ({ phase }: PlacementRow): boolean => phase === 'running';

const countIn = (all: readonly PlacementRow[], hostId: HostId): number =>
  all.filter((one) => one.hostId === hostId).length;

/** Stops executors on draining hosts, each only once another is ready in its place. */
const retireReplaced = (
  draft: Draft,
  service: ServiceDeclaration,
  staying: readonly PlacementRow[],
  leaving: readonly PlacementRow[],
  parked: number,
): void => {
  // Those that are parked are missing by plan, within the budget; nobody stays on for them.
  const wanted = service.spec.executors - parked;
  const readyElsewhere = staying.filter(isRunning).length;
  const stillNeeded = Math.max(0, wanted - readyElsewhere);
  leaving.slice(0, Math.max(0, leaving.length - stillNeeded)).forEach((placement) => {
    writePlacement(
      draft,
      { ...placement, phase: 'stopping' },
      `replaced before its host ${placement.hostId} drains`,
    );
  });
};

/** Those that do not run yet go first, then those that share a host, then the youngest. */
const firstToGo = (staying: readonly PlacementRow[]): readonly Ord.Ord<PlacementRow>[] => [
  pipe(B.Ord, Ord.contramap(isRunning)),
  pipe(
    N.Ord,
    Ord.contramap((one: PlacementRow) => -countIn(staying, one.hostId)),
  ),
  pipe(
    N.Ord,
    Ord.contramap((one: PlacementRow) => -one.epoch),
  ),
];

const retireExcess = (
  draft: Draft,
  service: ServiceDeclaration,
  staying: readonly PlacementRow[],
): void => {
  const excess = staying.length - service.spec.executors;
  if (excess <= 0) return;
  pipe(staying, RA.sortBy(firstToGo(staying)))
    .slice(0, excess)
    .forEach((placement) => {
      writePlacement(
        draft,
        { ...placement, phase: 'stopping' },
        `${service.name} wants ${service.spec.executors} executors and has ${staying.length}`,
      );
    });
};

/** An executor that stays on its host through maintenance starts again there: no move. */
const restartParked = (draft: Draft, parked: readonly PlacementRow[]): void => {
  parked.forEach((placement) => {
    if (placement.phase !== 'parked') return;
    if (draft.hosts.get(placement.hostId)?.row.phase !== 'assigned') return;
    const state = draft;
    const restarted = { ...placement, phase: 'assigned' as const, epoch: state.nextEpoch };
    state.nextEpoch += 1;
    writePlacement(draft, restarted, `starts again on ${placement.hostId} after maintenance`);
  });
};

const clearEnded = (draft: Draft, placements: readonly PlacementRow[]): void => {
  placements
    .filter(({ phase }) => phase === 'stopped')
    .forEach((row) => removePlacement(draft, { row, reason: 'its executor has stopped' }));
};

const planService = (draft: Draft, service: ServiceDeclaration): void => {
  const all = placementsOf(draft, brand<ServiceName>(service.name));
  clearEnded(draft, all);
  const of = (standing: Standing) => all.filter((one) => standingOf(draft, one) === standing);
  const staying = of('staying');
  const leaving = of('on-draining-host');
  const parked = of('parked');
  restartParked(draft, parked);
  const missing = service.spec.executors - staying.length - parked.length;
  fillUp(
    draft,
    service,
    missing,
    leaving.length > 0 ? `replaces one on draining ${leaving[0]?.hostId}` : 'fills up the service',
  );
  retireReplaced(draft, service, staying, leaving, parked.length);
  if (leaving.length === 0) retireExcess(draft, service, staying);
};

/**
 * Plans the executors of each service of the pool.
 *
 * @param draft - The working copy, changed in place.
 */
export const planExecutors = (draft: Draft): void => {
  declarationsOf(draft.world.configuration, 'Service')
    .filter((service) => service.spec.pool === draft.world.pool)
    .forEach((service) => planService(draft, service));
};

/**
 * Plans the end of executors whose service is not declared any more.
 *
 * @param draft - The working copy, changed in place.
 */
export const planUndeclared = (draft: Draft): void => {
  const declared = new Set(
    declarationsOf(draft.world.configuration, 'Service').map(({ name }) => name),
  );
  Array.from(draft.placements.values())
    .filter(
      ({ service, pool }) =>
        service !== null && pool === draft.world.pool && !declared.has(service),
    )
    .forEach((row) => {
      if (row.phase === 'stopped') {
        removePlacement(draft, { row, reason: 'its service is not declared any more' });
      } else if (row.phase !== 'stopping') {
        writePlacement(
          draft,
          { ...row, phase: 'stopping' },
          'its service is not declared any more',
        );
      }
    });
};
