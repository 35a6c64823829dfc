/**
 * The endpoints of this data centre, as its workers tell of them. It needs neither the platform's
 * table nor the mesh, so a data centre that is cut off goes on.
 */
import {
  brand,
  createEndpoint,
  findDeclaration,
  groupBy,
  portionOfShare,
  shareOfSeat,
  type Configuration,
  type Endpoint,
  type EndpointId,
  type ObservedTask,
  type ServiceName,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import type { HeldSeat } from '../seats/seat-keeper.js';
import type { ServiceGate } from './service-gate.js';

export type EndpointDirectory = {
  /** Takes in the tasks of the data centre's workers. */
  readonly takeTasks: (tasks: readonly ObservedTask[]) => void;
  readonly tasks: () => readonly ObservedTask[];
  /** Ends new work at an endpoint at once. */
  readonly markLeaving: (endpointId: string) => void;
  /** How many requests this entry has under way at an endpoint. */
  readonly inFlightAt: (endpointId: string) => number;
  readonly addresses: () => ReadonlySet<string>;
};

export type EndpointDirectoryOptions = {
  readonly configuration: () => Configuration;
  /** Null while this entry holds no seat: then it may send nothing. */
  readonly seat: () => HeldSeat | null;
  readonly gate: (service: ServiceName) => ServiceGate;
  readonly knownServices: () => readonly ServiceName[];
};

/**
 * Gives the identity of the endpoint that a task runs.
 *
 * @param task - The task.
 * @returns Job and epoch, so that a restarted executor is another endpoint.
 */
export const endpointIdOf = ({ jobId, epoch }: { jobId: string; epoch: number }): EndpointId =>
  brand<EndpointId>(`${jobId}@${epoch}`);

const isServing = ({ phase, address, service }: ObservedTask): boolean =>
  service !== null && address !== null && (phase === 'running' || phase === 'leaving');

/**
 * Builds the directory.
 *
 * @param options - The configuration, the seat, and the gates to keep filled.
 * @returns The directory.
 */
export const createEndpointDirectory = ({
  configuration,
  seat,
  gate,
  knownServices,
}: EndpointDirectoryOptions): EndpointDirectory => {
  const endpoints = new Map<EndpointId, Endpoint>();
  /** Marks that came before the workers told of them; a mark is never taken back. */
  const leaving = new Set<string>();
  let tasks: readonly ObservedTask[] = [];

  const slotsOf = (service: string): number =>
    findDeclaration(configuration(), 'Service', service)?.spec.slots ?? 0;

  const shareAt = (service: string, endpointId: EndpointId): number => {
    const held = seat();
    if (held === null) return 0;
    const share = shareOfSeat(slotsOf(service), held.seats, held.seat, endpointId);
    return portionOfShare(share, held.portion);
  };

  const refresh = (task: ObservedTask): Endpoint => {
    const endpointId = endpointIdOf(task);
    const known = endpoints.get(endpointId);
    const endpoint =
      known ??
      createEndpoint({
        endpointId,
        service: brand<ServiceName>(task.service as string),
        hostId: task.hostId,
        address: task.address as string,
      });
    endpoint.slotShare = shareAt(endpoint.service, endpointId);
    endpoint.shareUntilMs = seat()?.untilMs ?? -Infinity;
    endpoint.isLeaving ||= task.phase === 'leaving' || leaving.has(endpointId);
    endpoints.set(endpointId, endpoint);
    return endpoint;
  };

  const dropAbsent = (present: ReadonlySet<EndpointId>): void => {
    endpoints.forEach((endpoint, endpointId) => {
      if (present.has(endpointId)) return;
      change(endpoint, { isLeaving: true });
      if (endpoint.inFlight === 0) endpoints.delete(endpointId);
    });
    leaving.forEach((endpointId) => {
      if (!present.has(endpointId as EndpointId)) leaving.delete(endpointId);
    });
  };

  const takeTasks = (next: readonly ObservedTask[]): void => {
    tasks = next;
    const serving = next.filter(isServing).map(refresh);
    dropAbsent(new Set(serving.map(({ endpointId }) => endpointId)));
    const byService = groupBy(serving, ({ service }) => service);
    const services = new Set([...knownServices(), ...byService.keys()]);
    services.forEach((service) => gate(service).setEndpoints(byService.get(service) ?? []));
  };

  return {
    takeTasks,
    tasks: () => tasks,
    markLeaving: (endpointId) => {
      leaving.add(endpointId);
      const endpoint = endpoints.get(endpointId as EndpointId);
      if (endpoint) endpoint.isLeaving = true;
    },
    inFlightAt: (endpointId) => endpoints.get(endpointId as EndpointId)?.inFlight ?? 0,
    addresses: () => new Set(Array.from(endpoints.values(), ({ address }) => address)),
  };
};
