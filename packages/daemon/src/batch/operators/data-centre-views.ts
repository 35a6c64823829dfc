/**
 * The operators' views of data centres: whether they are evacuated, what runs there, and what waits because of that.
 */
import {
  evacuationsBlocking,
  isFinal,
  isSchedulable,
  countRunsInDataCentre,
  type BatchState,
  type StepRun,
} from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { Term } from '../control/term-types.js';

const MILLIS_PER_CORE = 1000;
/** Maximum number of reasons in an explanation, which is read by people. */
const MAX_REASONS = 1000;

/** Sums up the free cores of all schedulable endpoints outside a data centre. */
const computeFreeCoresOutside = (
  state: BatchState,
  dataCentre: DataCentreId,
  nowMs: number,
): number =>
  Array.from(state.endpoints.values())
    .filter((one) => one.dataCentre !== dataCentre && isSchedulable(state, one, nowMs))
    .reduce((sum, { capacity, used }) => sum + capacity.cpuMillis - used.cpuMillis, 0) /
  MILLIS_PER_CORE;

/** Lists the data centres that a host, an endpoint or an evacuation names. */
const listDataCentres = (term: Term): readonly DataCentreId[] =>
  Array.from(
    new Set([
      ...Array.from(term.fleet.inventory().hosts.values(), ({ dataCentre }) => dataCentre),
      ...Array.from(term.state.endpoints.values(), ({ dataCentre }) => dataCentre),
      ...term.evacuations.evacuations().keys(),
    ]),
  ).sort();

/** The age of the evacuation view in milliseconds, or `never` if the view has not been confirmed yet. */
const evacuationAgeOf = ({ evacuations }: Term): number | string =>
  Number.isFinite(evacuations.viewAgeMs()) ? evacuations.viewAgeMs() : 'never';

/**
 * Lists the data centres.
 *
 * @param term - The control term of the holder.
 * @returns One row for each data centre.
 */
export const listDataCentreRows = (term: Term): readonly object[] => {
  const hosts = Array.from(term.fleet.inventory().hosts.values());
  return listDataCentres(term).map((dataCentre) => {
    const { shortRuns, longRuns } = countRunsInDataCentre(term.state, dataCentre);
    const evacuation = term.evacuations.evacuations().get(dataCentre);
    return {
      dataCentre,
      evacuatedSince: evacuation ? new Date(evacuation.knownSinceWallClockMs).toISOString() : '',
      ageMs: evacuationAgeOf(term),
      revision: term.evacuations.revision(),
      hosts: hosts.filter((host) => host.dataCentre === dataCentre).length,
      shortRuns,
      longRuns,
      freeCoresElsewhere: computeFreeCoresOutside(term.state, dataCentre, performance.now()),
    };
  });
};

const listOpenSteps = ({ jobs }: BatchState): readonly StepRun[] =>
  Array.from(jobs.values())
    .filter(({ phase }) => !isFinal(phase))
    .flatMap(({ occurrences }) => Array.from(occurrences.values()).flatMap(({ steps }) => steps))
    .filter(({ isOpen }) => isOpen);

/**
 * Describes whether a data centre is evacuated, how many runs it still has, and when its last short run is expected to
 * end.
 */
const describeDataCentre = (term: Term, dataCentre: DataCentreId): string => {
  const { shortRuns, longRuns, lastExpectedEndMs } = countRunsInDataCentre(term.state, dataCentre);
  const evacuation = term.evacuations.evacuations().get(dataCentre);
  const remaining = `${shortRuns} short runs and ${longRuns} long-running tasks`;
  if (!evacuation) return `in service: ${remaining}`;
  const remainingMs = Math.max(0, Math.round((lastExpectedEndMs ?? 0) - performance.now()));
  const lastEnd =
    lastExpectedEndMs === undefined
      ? 'no short run is left'
      : `the last ends in about ${remainingMs} ms`;
  return `evacuated since ${new Date(evacuation.knownSinceWallClockMs).toISOString()}: ${remaining} there, ${lastEnd}`;
};

/**
 * Explains a data centre.
 *
 * @param term - The control term of the holder.
 * @param name - The name of the data centre.
 * @returns What still runs there, when the last short run is expected to end, and which steps wait because of the
 * evacuation; undefined if the data centre is not known.
 */
export const explainDataCentre = (term: Term, name: string): object | undefined => {
  const dataCentre = name as DataCentreId;
  if (!listDataCentres(term).includes(dataCentre)) return undefined;
  const runs = Array.from(term.state.endpoints.values())
    .filter((one) => one.dataCentre === dataCentre)
    .flatMap((one) =>
      Array.from(one.runs.values(), (run) => ({ ...run, endpointId: one.endpointId })),
    )
    .map(({ task, step, endpointId }) => ({
      of: `task ${task.key}`,
      reason: `queue=${step.job.job.queue} ${step.spec.isLasting ? 'long-running' : 'short'}, on endpoint ${endpointId}`,
    }));
  const waiting = listOpenSteps(term.state)
    .filter((step) => evacuationsBlocking(term.state, step).includes(dataCentre))
    .map((step) => ({
      of: `job ${step.job.job.jobId} step ${step.number}`,
      reason: `${step.waiting.length} tasks wait: only endpoints here could run them`,
    }));
  return {
    outcome: describeDataCentre(term, dataCentre),
    reason: `revision ${term.evacuations.revision()}, confirmed ${evacuationAgeOf(term)} ms ago`,
    reasons: [...waiting, ...runs].slice(0, MAX_REASONS),
  };
};
