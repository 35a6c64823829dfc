/**
 * Pacing of gap-filling tasks, which use CPU time that others leave unused and can slow down serving tasks on the same
 * endpoint. When a serving task exceeds its latency target, the gap-filling tasks beside it are slowed down at once. They
 * are sped up again step by step while it stays well below the target.
 */
import { change } from '../../shared/change.js';
import type { BatchState, EndpointState, RunState } from '../model/state.js';

/** Gap-filling tasks speed up only while the latency of each serving task is below this fraction of its target. */
const SPEED_UP_BELOW = 0.75;
/** The factor by which a pace is reduced while a serving task exceeds its target. */
const SLOW_DOWN_FACTOR = 0.5;
/** A gap-filling task that would be paced below this percentage is paced to 0. */
const MIN_PERCENT = 15;
/** How many percentage points a pace rises in one step. */
const UP_PERCENT = 15;
/**
 * The least time between two changes of a task's pace. A pace takes effect after `paceMs` (100 ms) and shows in latency
 * figures, which cover half a second.
 */
const PACE_EVERY_MS = 700;

/** Tells whether a run is a ready serving task: one with a latency target that has reached 100 percent. */
const isServing = ({ step, phase, percent }: RunState): boolean =>
  step.spec.targetMs > 0 && phase === 'running' && percent >= 100;

const isGapFiller = ({ step, phase }: RunState): boolean =>
  step.spec.fillsGaps && phase === 'running';

/** Computes the next pace from the highest ratio of latency to target among the serving tasks. */
const nextPace = (pacePercent: number, worstRatio: number): number => {
  if (worstRatio > 1) {
    const slower = Math.floor(pacePercent * SLOW_DOWN_FACTOR);
    return slower < MIN_PERCENT ? 0 : slower;
  }
  return worstRatio < SPEED_UP_BELOW ? Math.min(100, pacePercent + UP_PERCENT) : pacePercent;
};

const paceEndpoint = (state: BatchState, endpoint: EndpointState, nowMs: number): void => {
  const runs = Array.from(endpoint.runs.values());
  const gapFillers = runs.filter(isGapFiller);
  if (gapFillers.length === 0) return;
  const targetRatios = runs
    .filter(isServing)
    .map(({ loadFigure, step }) => loadFigure / step.spec.targetMs);
  const worstRatio = Math.max(0, ...targetRatios);
  gapFillers.forEach((run) => {
    if (nowMs - run.pacedAtMs < PACE_EVERY_MS) return;
    const percent = nextPace(run.pacePercent, worstRatio);
    if (percent === run.pacePercent) return;
    change(run, { pacePercent: percent, pacedAtMs: nowMs });
    state.effects.push({
      kind: 'pace',
      endpointId: endpoint.endpointId,
      task: run.task.key,
      run: run.run,
      percent,
      reason: `worst serving neighbour at ${worstRatio.toFixed(2)} of its target`,
    });
  });
};

/**
 * Adjusts the pace of the gap-filling tasks on every endpoint.
 *
 * @param state - The batch state, changed in place.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 */
export const paceGapFillers = (state: BatchState, nowMs: number): void => {
  state.endpoints.forEach((endpoint) => paceEndpoint(state, endpoint, nowMs));
};
