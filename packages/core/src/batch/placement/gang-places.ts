/** Where all members of a gang find places at once. */
import { rackOf } from '../endpoints/endpoints.js';
import { hasLabel } from '../endpoints/sound-endpoints.js';
import type { EndpointState, StepRun } from '../model/state.js';

/** The endpoints that a gang may be spread over: one rack, if it must stay together and fits. */
const gangSets = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly (readonly EndpointState[])[] => {
  if (!step.spec.isRackLocal) return [endpoints];
  const racks = new Set(endpoints.map(rackOf));
  const perRack = Array.from(racks, (rack) => endpoints.filter((one) => rackOf(one) === rack));
  return [...perRack, endpoints];
};

/** Finds places for all members at once, or none. */
const placesOn = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly EndpointState[] | undefined => {
  const { spec } = step;
  const places: EndpointState[] = [];
  endpoints.forEach((endpoint) => {
    const { capacity, used } = endpoint;
    const free = [
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
    const members = hasLabel(endpoint, spec.requiredLabel) ? Math.floor(Math.min(...free)) : 0;
    for (let one = 0; one < members && places.length < spec.taskCount; one += 1) {
      places.push(endpoint);
    }
  });
  return places.length === spec.taskCount ? places : undefined;
};

/**
 * Finds places for all members of a gang at once: on one rack, if it must stay together and fits there.
 *
 * @param step - The gang.
 * @param endpoints - The endpoints that may run it.
 * @returns An endpoint for each member, or undefined.
 */
export const placesForGang = (
  step: StepRun,
  endpoints: readonly EndpointState[],
): readonly EndpointState[] | undefined =>
  gangSets(step, endpoints)
    .map((set) => placesOn(step, set))
    .find((found) => found !== undefined);
