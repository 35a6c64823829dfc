/**
 * Plans how many executors a service has and how they move between hosts. A replacement gets an id
 * of its own and must be ready before the executor that it replaces is stopped, so that a planned
 * move never lowers the number of ready executors.
 */
import * as B from 'fp-ts/lib/boolean.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { DeclarationOf } from '../declarations/schema.js';
import { listDeclarations } from '../configuration/configuration.js';
import { chooseHost, type HostChoice } from '../placement/choose-host.js';
import {
  toExecutorJob,
  type PlaceableJob,
  type PlacementHost,
} from '../placement/placement-input.js';
import { rowKey, type PlacementPhase, type PlacementRow } from '../rows/rows.js';
import { brand, type HostId, type JobId, type ServiceName } from '../shared/ids.js';
import {
  placeJob,
  removePlacement,
  recordWithheldAction,
  writePlacement,
  type Draft,
} from './draft.js';

type ServiceDeclaration = DeclarationOf<'Service'>;

/** How a placement counts towards the declared number of executors of its service. */
type ExecutorState = 'staying' | 'on-draining-host' | 'on-lost-host' | 'parked' | 'ending';

const stateByEndingPhase: Partial<Record<PlacementPhase, ExecutorState>> = {
  stopping: 'ending',
  stopped: 'ending',
  parking: 'parked',
  parked: 'parked',
};

const executorStateOf = (draft: Draft, placement: PlacementRow): ExecutorState => {
  const host = draft.hosts.get(placement.hostId);
  if (!host || !host.isLive) return 'on-lost-host';
  const endingState = stateByEndingPhase[placement.phase];
  if (endingState !== undefined) return endingState;
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
 * Leaves out the hosts that a running wave has yet to maintain.
 *
 * @param draft - The working copy.
 * @param hosts - The hosts.
 * @returns The hosts that an executor will not have to leave again for a running wave.
 */
export const excludeHostsAwaitingMaintenance = (
  draft: Draft,
  hosts: readonly PlacementHost[],
): readonly PlacementHost[] =>
  hosts.filter(({ spec }) => !draft.hostsAwaitingMaintenance.has(spec.hostId));

/**
 * Chooses the host for an executor. A host that a running wave has yet to maintain is chosen only
 * if no other host fits, because the executor would have to move again.
 *
 * @param draft - The working copy.
 * @param job - The executor.
 * @param hosts - The hosts to choose from.
 * @returns The chosen host, or the reason why no host fits.
 */
export const chooseExecutorHost = (
  draft: Draft,
  job: PlaceableJob,
  hosts: readonly PlacementHost[],
): HostChoice => {
  if (draft.hostsAwaitingMaintenance.size === 0) return chooseHost(job, hosts);
  const settledChoice = chooseHost(job, excludeHostsAwaitingMaintenance(draft, hosts));
  return settledChoice.kind === 'chosen' ? settledChoice : chooseHost(job, hosts);
};

const placeExecutor = (draft: Draft, service: ServiceDeclaration, reason: string): boolean => {
  const job = toExecutorJob(service, firstFreeId(draft, service.name));
  const chosen = chooseExecutorHost(draft, job, Array.from(draft.hosts.values()));
  if (chosen.kind === 'none') {
    recordWithheldAction(draft, rowKey.placement(job.jobId), chosen.reason);
    return false;
  }
  placeJob(draft, { job, hostId: chosen.hostId, reason: `${reason}; ${chosen.reason}` });
  return true;
};

const placeMissing = (
  draft: Draft,
  service: ServiceDeclaration,
  missing: number,
  reason: string,
): void => {
  let remaining = missing;
  while (remaining > 0 && placeExecutor(draft, service, reason)) remaining -= 1;
};

const isRunning = ({ phase }: PlacementRow): boolean => phase === 'running';

const countOnHost = (all: readonly PlacementRow[], hostId: HostId): number =>
  all.filter((placement) => placement.hostId === hostId).length;

/** Stops executors on draining hosts, each only after a replacement is ready elsewhere. */
const stopReplaced = (
  draft: Draft,
  service: ServiceDeclaration,
  staying: readonly PlacementRow[],
  onDrainingHosts: readonly PlacementRow[],
  parked: number,
): void => {
  // Parked executors are stopped on purpose, within the availability budget, so no executor is
  // kept on a draining host to stand in for them.
  const wanted = service.spec.executors - parked;
  const readyElsewhere = staying.filter(isRunning).length;
  const stillNeeded = Math.max(0, wanted - readyElsewhere);
  onDrainingHosts
    .slice(0, Math.max(0, onDrainingHosts.length - stillNeeded))
    .forEach((placement) => {
      writePlacement(
        draft,
        { ...placement, phase: 'stopping' },
        `replaced before its host ${placement.hostId} drains`,
      );
    });
};

/**
 * The order in which excess executors are stopped: those that do not run yet, then those that share
 * a host with most others, then those with the highest epoch.
 */
const stopOrder = (staying: readonly PlacementRow[]): readonly Ord.Ord<PlacementRow>[] => [
  pipe(B.Ord, Ord.contramap(isRunning)),
  pipe(
    N.Ord,
    Ord.contramap((placement: PlacementRow) => -countOnHost(staying, placement.hostId)),
  ),
  pipe(
    N.Ord,
    Ord.contramap((placement: PlacementRow) => -placement.epoch),
  ),
];

const stopExcess = (
  draft: Draft,
  service: ServiceDeclaration,
  staying: readonly PlacementRow[],
): void => {
  const excess = staying.length - service.spec.executors;
  if (excess <= 0) return;
  pipe(staying, RA.sortBy(stopOrder(staying)))
    .slice(0, excess)
    .forEach((placement) => {
      writePlacement(
        draft,
        { ...placement, phase: 'stopping' },
        `${service.name} wants ${service.spec.executors} executors and has ${staying.length}`,
      );
    });
};

/** Restarts parked executors on their own hosts once these are back in use after maintenance. */
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

const removeStopped = (draft: Draft, placements: readonly PlacementRow[]): void => {
  placements
    .filter(({ phase }) => phase === 'stopped')
    .forEach((row) => removePlacement(draft, { row, reason: 'its executor has stopped' }));
};

const planService = (draft: Draft, service: ServiceDeclaration): void => {
  const all = placementsOf(draft, brand<ServiceName>(service.name));
  removeStopped(draft, all);
  const inState = (state: ExecutorState) =>
    all.filter((placement) => executorStateOf(draft, placement) === state);
  const staying = inState('staying');
  const onDrainingHosts = inState('on-draining-host');
  const parked = inState('parked');
  restartParked(draft, parked);
  const missing = service.spec.executors - staying.length - parked.length;
  placeMissing(
    draft,
    service,
    missing,
    onDrainingHosts.length > 0
      ? `replaces one on draining ${onDrainingHosts[0]?.hostId}`
      : 'fills up the service',
  );
  stopReplaced(draft, service, staying, onDrainingHosts, parked.length);
  if (onDrainingHosts.length === 0) stopExcess(draft, service, staying);
};

/**
 * Plans the executors of each service of the pool.
 *
 * @param draft - The working copy, changed in place.
 */
export const planExecutors = (draft: Draft): void => {
  listDeclarations(draft.snapshot.configuration, 'Service')
    .filter((service) => service.spec.pool === draft.snapshot.pool)
    .forEach((service) => planService(draft, service));
};

/**
 * Stops executors whose service is no longer declared, and removes those that have stopped.
 *
 * @param draft - The working copy, changed in place.
 */
export const planUndeclaredExecutors = (draft: Draft): void => {
  const declared = new Set(
    listDeclarations(draft.snapshot.configuration, 'Service').map(({ name }) => name),
  );
  Array.from(draft.placements.values())
    .filter(
      ({ service, pool }) =>
        service !== null && pool === draft.snapshot.pool && !declared.has(service),
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
