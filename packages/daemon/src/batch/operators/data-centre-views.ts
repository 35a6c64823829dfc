/** What operators are told of data centres: evacuated or not, what runs there, and what waits because of it. */
import {
  evacuationsBlocking,
  isFinal,
  isSchedulable,
  countRunsInDataCentre,
  type BatchState,
  type StepRun,
} from '@valvelatch/core/batch';
import type { DataCentreId } from '@valvelatch/core/shared/ids';

import type { Term } from '../control/term.js';

const MILLIS = 1000;
/** A list for people. */
const MOST_ROWS = 1000;

const freeCoresOutside = (state: BatchState, dataCentre: DataCentreId, nowMs: number): number =>
  Array.from(state.endpoints.values())
    .filter((one) => one.dataCentre !== dataCentre && isSchedulable(state, one, nowMs))
    .reduce((sum, { capacity, used }) => sum + capacity.cpuMillis - used.cpuMillis, 0) / MILLIS;

const knownDataCentres = (term: Term): readonly DataCentreId[] =>
  Array.from(
    new Set([
      ...Array.from(term.fleet.inventory().hosts.values(), ({ dataCentre }) => dataCentre),
      ...Array.from(term.state.endpoints.values(), ({ dataCentre }) => dataCentre),
      ...term.evacuations.evacuations().keys(),
    ]),
  ).sort();

/** The age of what is believed, or `never` if it was not confirmed yet. */
const ageOf = ({ evacuations }: Term): number | string =>
  Number.isFinite(evacuations.ageMs()) ? evacuations.ageMs() : 'never';

/**
 * Lists the data centres.
 *
 * @param term - The term of the holder.
 * @returns One row each.
 */
export const dataCentreRows = (term: Term): readonly object[] => {
  const hosts = Array.from(term.fleet.inventory().hosts.values());
  return knownDataCentres(term).map((dataCentre) => {
    const { shortRuns, longRuns } = countRunsInDataCentre(term.state, dataCentre);
    const evacuation = term.evacuations.evacuations().get(dataCentre);
    return {
      dataCentre,
      evacuatedSince: evacuation ? new Date(evacuation.knownSinceDay).toISOString() : '',
      ageMs: ageOf(term),
      revision: term.evacuations.revision(),
      hosts: hosts.filter((host) => host.dataCentre === dataCentre).length,
      shortRuns,
      longRuns,
      freeCoresElsewhere: freeCoresOutside(term.state, dataCentre, performance.now()),
    };
  });
};

const openSteps = ({ jobs }: BatchState): readonly StepRun[] =>
  Array.from(jobs.values())
    .filter(({ phase }) => !isFinal(phase))
    .flatMap(({ occurrences }) => Array.from(occurrences.values()).flatMap(({ steps }) => steps))
    .filter(({ isOpen }) => isOpen);

const outcomeOf = (term: Term, dataCentre: DataCentreId): string => {
  const { shortRuns, longRuns, lastExpectedEndMs } = countRunsInDataCentre(term.state, dataCentre);
  const evacuation = term.evacuations.evacuations().get(dataCentre);
  const left = `${shortRuns} short runs and ${longRuns} long-running tasks`;
  if (!evacuation) return `in service: ${left}`;
  const inMs = Math.max(0, Math.round((lastExpectedEndMs ?? 0) - performance.now()));
  const end =
    lastExpectedEndMs === undefined ? 'no short run is left' : `the last ends in some ${inMs} ms`;
  return `evacuated since ${new Date(evacuation.knownSinceDay).toISOString()}: ${left} there, ${end}`;
};

/**
 * Explains a data centre.
 *
 * @param term - The term of the holder.
 * @param name - The data centre.
 * @returns Who still runs there, until when, and what waits because of it; undefined for one that is not known.
 */
export const explainDataCentre = (term: Term, name: string): object | undefined => {
  const dataCentre = name as DataCentreId;
  if (!knownDataCentres(term).includes(dataCentre)) return undefined;
  const runs = Array.from(term.state.endpoints.values())
    .filter((one) => one.dataCentre === dataCentre)
    .flatMap((one) => Array.from(one.runs.values(), (run) => ({ ...run, on: one.endpointId })))
    .map(({ task, step, on }) => ({
      of: `task ${task.key}`,
      reason: `queue=${step.job.job.queue} ${step.spec.isLasting ? 'long-running' : 'short'}, on endpoint ${on}`,
    }));
  const waiting = openSteps(term.state)
    .filter((step) => evacuationsBlocking(term.state, step).includes(dataCentre))
    .map((step) => ({
      of: `job ${step.job.job.jobId} step ${step.number}`,
      reason: `${step.waiting.length} tasks wait: only endpoints here could run them`,
    }));
  return {
    outcome: outcomeOf(term, dataCentre),
    reason: `revision ${term.evacuations.revision()}, confirmed ${ageOf(term)} ms ago`,
    reasons: [...waiting, ...runs].slice(0, MOST_ROWS),
  };
};
