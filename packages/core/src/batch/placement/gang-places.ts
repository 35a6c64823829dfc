/** Finds endpoints for all tasks of a gang at once. */
import { rackOf } from '../endpoints/endpoints.js';
import { hasLabel } from '../endpoints/schedulable-endpoints.js';
import type { EndpointState, StepRun } from '../model/state.js';

/**
 * Lists the sets of endpoints to try for a gang, in order: for a rack-local gang each rack by itself and then all endpoints,
 * for any other gang all endpoints.
 */
const endpointSetsFor = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly (readonly EndpointState[])[] => {
  if (!step.spec.isRackLocal) return [endpoints];
  const racks = new Set(endpoints.map(rackOf));
  const perRack = Array.from(racks, (rack) =>
    endpoints.filter((endpoint) => rackOf(endpoint) === rack),
  );
  return [...perRack, endpoints];
};

/** Finds an endpoint for each task of the gang within one set; undefined if they do not all fit. */
const findPlacesIn = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly EndpointState[] | undefined => {
  const { spec } = step;
  const places: EndpointState[] = [];
  endpoints.forEach((endpoint) => {
    const { capacity, used } = endpoint;
    const limits = [
      spec.fillsGaps || spec.cpuMillis === 0
        ? Infinity
        : (capacity.cpuMillis - used.cpuMillis) / spec.cpuMillis,
      spec.memoryMb === 0 ? Infinity : (capacity.memoryMb - used.memoryMb) / spec.memoryMb,
      spec.accelerators === 0
        ? Infinity
        : (capacity.accelerators - used.accelerators) / spec.accelerators,
      spec.mostPerEndpoint === 0 ? Infinity : spec.mostPerEndpoint,
      spec.taskCount,
    ];
    const maxTasks = hasLabel(endpoint, spec.requiredLabel) ? Math.floor(Math.min(...limits)) : 0;
    for (let placed = 0; placed < maxTasks && places.length < spec.taskCount; placed += 1) {
      places.push(endpoint);
    }
  });
  return places.length === spec.taskCount ? places : undefined;
};

/**
 * Finds endpoints for all tasks of a gang at once. A rack-local gang is placed in one rack if it fits into one, else
 * across racks.
 *
 * @param step - The step whose tasks form the gang.
 * @param endpoints - The endpoints that may run it.
 * @returns An endpoint for each task of the gang; undefined if they do not all fit.
 */
export const findGangPlaces = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly EndpointState[] | undefined =>
  endpointSetsFor(step, endpoints)
    .map((set) => findPlacesIn(step, set))
    .find((found) => found !== undefined);
