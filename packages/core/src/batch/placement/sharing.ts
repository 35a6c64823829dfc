/**
 * Tasks that fill gaps disturb the tasks that serve beside them. A serving task that is over its
 * target has its neighbours paced down at once; they come back slowly while it stays well under.
 */
import { change } from '../../shared/change.js';
import type { BatchState, EndpointState, RunState } from '../model/state.js';

/** Under this share of its target a serving task has room for a disturbance. */
const COMFORT_SHARE = 0.75;
/** What a pace is multiplied by while a neighbour is over its target. */
const DOWN_FACTOR = 0.5;
/** Below this percentage a filling task is paced to nothing. */
const LEAST_PERCENT = 15;
const UP_PERCENT = 15;
/** A pace acts after `paceMs` (100) and shows in figures of half a second. */
const PACE_EVERY_MS = 700;

const isServing = ({ step, phase, percent }: RunState): boolean =>
  step.spec.targetMs > 0 && phase === 'running' && percent >= 100;

const isFilling = ({ step, phase }: RunState): boolean =>
  step.spec.fillsGaps && phase === 'running';

const nextPace = (pacePercent: number, worst: number): number => {
  if (worst > 1) {
    const down = Math.floor(pacePercent * DOWN_FACTOR);
    return down < LEAST_PERCENT ? 0 : down;
  }
  return worst < COMFORT_SHARE ? Math.min(100, pacePercent + UP_PERCENT) : pacePercent;
};

const paceEndpoint = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  const runs = Array.from(endpoint.runs.values());
  const filling = runs.filter(isFilling);
  if (filling.length === 0) return;
  const shares = runs.filter(isServing).map(({ figure, step }) => figure / step.spec.targetMs);
  const worst = Math.max(0, ...shares);
  filling.forEach((run) => {
    if (nowMs - run.pacedAtMs < PACE_EVERY_MS) return;
    const percent = nextPace(run.pacePercent, worst);
    if (percent === run.pacePercent) return;
    change(run, { pacePercent: percent, pacedAtMs: nowMs });
    state.effects.push({
      kind: 'pace',
      endpointId: endpoint.endpointId,
      task: run.task.key,
      run: run.run,
      percent,
      reason: `worst serving neighbour at ${worst.toFixed(2)} of its target`,
    });
  });
};

/**
 * Paces the tasks that fill gaps, on every endpoint.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time.
 */
export const paceFillers = (state: BatchState, nowMs: number): void => {
  state.endpoints.forEach((endpoint) => paceEndpoint(state, endpoint, nowMs));
};
