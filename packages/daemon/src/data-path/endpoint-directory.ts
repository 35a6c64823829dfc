/**
 * Keeps the endpoints of this data centre, as reported by its workers. It depends neither on the
 * platform's table nor on the mesh, so that a disconnected data centre keeps serving requests.
 */
import {
  brand,
  createEndpoint,
  findDeclaration,
  groupBy,
  computePortion,
  computeSeatShare,
  type Configuration,
  type Endpoint,
  type EndpointId,
  type ObservedTask,
  type ServiceName,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import type { HeldSeat } from '../seats/seat-manager.js';
import type { ServiceAdmission } from './service-admission.js';

/** The endpoints of this data centre, from the tasks of its workers. */
export type EndpointDirectory = {
  /** Replaces the endpoints by those of the tasks that the data centre's workers report. */
  readonly updateTasks: (tasks: readonly ObservedTask[]) => void;
  /** Returns the tasks as last reported. */
  readonly tasks: () => readonly ObservedTask[];
  /** Immediately stops sending new requests to an endpoint. */
  readonly markLeaving: (endpointId: string) => void;
  /** Returns the number of requests that this entry has in flight at an endpoint. */
  readonly inFlightCount: (endpointId: string) => number;
  /** Returns the addresses of all endpoints, including removed ones with requests in flight. */
  readonly addresses: () => ReadonlySet<string>;
};

export type EndpointDirectoryOptions = {
  readonly configuration: () => Configuration;
  /** Returns the held seat, or null if there is none: this entry must then send no requests. */
  readonly heldSeat: () => HeldSeat | null;
  /** Returns the admission of a service, which receives the service's endpoints. */
  readonly admissionFor: (service: ServiceName) => ServiceAdmission;
  /** Returns the services whose admission exists already, also if they have no endpoints now. */
  readonly knownServices: () => readonly ServiceName[];
};

/**
 * Builds the id of the endpoint that a task runs.
 *
 * @param task - The job and the epoch of the task.
 * @returns The id. It contains the epoch, so that a restarted executor is a new endpoint.
 */
export const endpointIdOf = ({ jobId, epoch }: { jobId: string; epoch: number }): EndpointId =>
  brand<EndpointId>(`${jobId}@${epoch}`);

const isServing = ({ phase, address, service }: ObservedTask): boolean =>
  service !== null && address !== null && (phase === 'running' || phase === 'leaving');

/**
 * Creates the directory.
 *
 * @param options - The configuration, the held seat, and the admissions that receive the endpoints.
 * @returns The directory, without endpoints.
 */
export const createEndpointDirectory = ({
  configuration,
  heldSeat,
  admissionFor,
  knownServices,
}: EndpointDirectoryOptions): EndpointDirectory => {
  const endpoints = new Map<EndpointId, Endpoint>();
  /**
   * Endpoints that were marked as leaving before the workers reported it. A mark is kept for as long
   * as the workers list the endpoint.
   */
  const leavingIds = new Set<string>();
  let tasks: readonly ObservedTask[] = [];

  const slotsPerEndpoint = (service: string): number =>
    findDeclaration(configuration(), 'Service', service)?.spec.slots ?? 0;

  const slotShareOf = (service: string, endpointId: EndpointId): number => {
    const currentSeat = heldSeat();
    if (currentSeat === null) return 0;
    const share = computeSeatShare(
      slotsPerEndpoint(service),
      currentSeat.seatCount,
      currentSeat.seatIndex,
      endpointId,
    );
    return computePortion(share, currentSeat.portion);
  };

  const refreshEndpoint = (task: ObservedTask): Endpoint => {
    const endpointId = endpointIdOf(task);
    const existing = endpoints.get(endpointId);
    const endpoint =
      existing ??
      createEndpoint({
        endpointId,
        service: brand<ServiceName>(task.service as string),
        hostId: task.hostId,
        address: task.address as string,
      });
    endpoint.slotShare = slotShareOf(endpoint.service, endpointId);
    endpoint.slotShareExpiresAtMs = heldSeat()?.validUntilMs ?? -Infinity;
    endpoint.isLeaving ||= task.phase === 'leaving' || leavingIds.has(endpointId);
    endpoints.set(endpointId, endpoint);
    return endpoint;
  };

  const removeAbsentEndpoints = (presentIds: ReadonlySet<EndpointId>): void => {
    endpoints.forEach((endpoint, endpointId) => {
      if (presentIds.has(endpointId)) return;
      change(endpoint, { isLeaving: true });
      if (endpoint.inFlight === 0) endpoints.delete(endpointId);
    });
    leavingIds.forEach((endpointId) => {
      if (!presentIds.has(endpointId as EndpointId)) leavingIds.delete(endpointId);
    });
  };

  const updateTasks = (reportedTasks: readonly ObservedTask[]): void => {
    tasks = reportedTasks;
    const serving = reportedTasks.filter(isServing).map(refreshEndpoint);
    removeAbsentEndpoints(new Set(serving.map(({ endpointId }) => endpointId)));
    const byService = groupBy(serving, ({ service }) => service);
    const services = new Set([...knownServices(), ...byService.keys()]);
    services.forEach((service) => admissionFor(service).setEndpoints(byService.get(service) ?? []));
  };

  return {
    updateTasks,
    tasks: () => tasks,
    markLeaving: (endpointId) => {
      leavingIds.add(endpointId);
      const endpoint = endpoints.get(endpointId as EndpointId);
      if (endpoint) endpoint.isLeaving = true;
    },
    inFlightCount: (endpointId) => endpoints.get(endpointId as EndpointId)?.inFlight ?? 0,
    addresses: () => new Set(Array.from(endpoints.values(), ({ address }) => address)),
  };
};
