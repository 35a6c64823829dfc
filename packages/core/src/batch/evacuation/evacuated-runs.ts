/** What an evacuated data centre still runs, and which steps wait because of it: for operators. */
import type { DataCentreId } from '../../shared/ids.js';
import { hasLabel } from '../endpoints/sound-endpoints.js';
import { reservedCpu } from '../endpoints/runs.js';
import { expectStepTime } from '../jobs/step-times.js';
import type { BatchState, EndpointState, RunState, StepRun } from '../model/state.js';

/** What a data centre runs. */
export type DataCentreRuns = {
  readonly endpoints: number;
  /** Runs of tasks that end by themselves. */
  readonly shortRuns: number;
  /** Runs of long-running tasks: they stay where they are. */
  readonly longRuns: number;
  /** When the last short run is expected to end, by the holder's clock; undefined without one. */
  readonly lastEndMs: number | undefined;
};

const endpointsIn = (state: BatchState, dataCentre: DataCentreId): readonly EndpointState[] =>
  Array.from(state.endpoints.values()).filter((one) => one.dataCentre === dataCentre);

const isShort = ({ step }: RunState): boolean => !step.spec.isLasting;

/**
 * Counts what a data centre runs.
 *
 * @param state - All that is known.
 * @param dataCentre - The data centre.
 * @returns Its endpoints, their runs by kind, and the expected end of the last short one.
 */
export const runsInDataCentre = (state: BatchState, dataCentre: DataCentreId): DataCentreRuns => {
  const endpoints = endpointsIn(state, dataCentre);
  const runs = endpoints.flatMap((one) => Array.from(one.runs.values()));
  const short = runs.filter(isShort);
  const endsMs = short.map((run) => run.startedAtMs + expectStepTime(state, run.step));
  return {
    endpoints: endpoints.length,
    shortRuns: short.length,
    longRuns: runs.length - short.length,
    lastEndMs: endsMs.length > 0 ? Math.max(...endsMs) : undefined,
  };
};

/** An endpoint could run a task of the step if nothing else ran there. */
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
 * Finds the evacuated data centres for which a step waits: only endpoints there could run it.
 *
 * @param state - All that is known.
 * @param step - An open step.
 * @returns The data centres; none where an endpoint elsewhere could run it, or none could.
 */
export const evacuationsAwaitedBy = (
  { endpoints, evacuated }: BatchState,
  step: StepRun,
): readonly DataCentreId[] => {
  if (evacuated.size === 0 || step.waiting.length === 0) return [];
  const able = Array.from(endpoints.values()).filter((endpoint) => couldRun(endpoint, step));
  const places = new Set(able.map(({ dataCentre }) => dataCentre));
  const isElsewhere = Array.from(places).some((dataCentre) => !evacuated.has(dataCentre));
  return isElsewhere ? [] : Array.from(places);
};
