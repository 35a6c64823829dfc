/** Tells operators which tasks an evacuated data centre still runs, and which steps wait because of an evacuation. */
import type { DataCentreId } from '../../shared/ids.js';
import { hasLabel } from '../endpoints/schedulable-endpoints.js';
import { reservedCpu } from '../endpoints/runs.js';
import { estimateStepTime } from '../jobs/step-times.js';
import type { BatchState, EndpointState, RunState, StepRun } from '../model/state.js';

/** How many tasks run in a data centre, by kind. */
export type DataCentreRuns = {
  readonly endpoints: number;
  /** Runs of tasks that end by themselves. */
  readonly shortRuns: number;
  /** Runs of long-running tasks; an evacuation does not move them. */
  readonly longRuns: number;
  /** When the last short run is expected to end, by the control holder's clock; undefined if there is no short run. */
  readonly lastExpectedEndMs: number | undefined;
};

const endpointsIn = (state: BatchState, dataCentre: DataCentreId): readonly EndpointState[] =>
  Array.from(state.endpoints.values()).filter((one) => one.dataCentre === dataCentre);

const endsByItself = ({ step }: RunState): boolean => !step.spec.isLasting;

/**
 * Counts the runs in a data centre.
 *
 * @param state - The batch state.
 * @param dataCentre - The data centre.
 * @returns The number of its endpoints, of their runs by kind, and the expected end of the last short run.
 */
export const countRunsInDataCentre = (
  state: BatchState,
  dataCentre: DataCentreId,
): DataCentreRuns => {
  const endpoints = endpointsIn(state, dataCentre);
  const runs = endpoints.flatMap((one) => Array.from(one.runs.values()));
  const shortRuns = runs.filter(endsByItself);
  const expectedEndsMs = shortRuns.map(
    (run) => run.startedAtMs + estimateStepTime(state, run.step),
  );
  return {
    endpoints: endpoints.length,
    shortRuns: shortRuns.length,
    longRuns: runs.length - shortRuns.length,
    lastExpectedEndMs: expectedEndsMs.length > 0 ? Math.max(...expectedEndsMs) : undefined,
  };
};

/** Tells whether an endpoint could run a task of the step if nothing else ran there. */
const couldRun = (endpoint: EndpointState, { job, spec }: StepRun): boolean => {
  const { pool, capacity } = endpoint;
  return (
    pool === job.job.pool &&
    hasLabel(endpoint, spec.requiredLabel) &&
    reservedCpu(spec) <= capacity.cpuMillis &&
    spec.memoryMb <= capacity.memoryMb &&
    spec.accelerators <= capacity.accelerators
  );
};

/**
 * Finds the evacuated data centres whose return to service a step waits for, because only endpoints there could run it.
 *
 * @param state - The batch state.
 * @param step - An open step.
 * @returns The data centres; empty if an endpoint elsewhere could run the step, or if no endpoint could.
 */
export const evacuationsBlocking = (
  { endpoints, evacuatedDataCentres }: BatchState,
  step: StepRun,
): readonly DataCentreId[] => {
  if (evacuatedDataCentres.size === 0 || step.waiting.length === 0) return [];
  const capableEndpoints = Array.from(endpoints.values()).filter((endpoint) =>
    couldRun(endpoint, step),
  );
  const dataCentres = new Set(capableEndpoints.map(({ dataCentre }) => dataCentre));
  const canRunElsewhere = Array.from(dataCentres).some(
    (dataCentre) => !evacuatedDataCentres.has(dataCentre),
  );
  return canRunElsewhere ? [] : Array.from(dataCentres);
};
