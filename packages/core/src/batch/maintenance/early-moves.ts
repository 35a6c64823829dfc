/**
 * Lasting tasks move off hosts of a wave before these go down: such a host then drains and goes without any step's
 * allowance, beside others. A task stops here and begins elsewhere at once.
 */
import { change } from '../../shared/change.js';
import { countAtWork, countAway, isQuiet, moveOneAway } from '../pools/hosts.js';
import type { EndpointState, StepRun } from '../model/state.js';
import type { Candidate, UpkeepRound } from './upkeep-rules.js';
import { latestBeginMs, type WavePlan } from './wave-plan.js';

/**
 * How many tasks of a step may be away beside one that moves. While there is time, one moves after the other and the
 * rest of the allowance is left to crashes; later all of it is used.
 */
const mayBeAwayBeside = (candidate: Candidate, { plan, nowMs }: UpkeepRound, step: StepRun) =>
  nowMs < latestBeginMs(plan, candidate) ? 0 : step.spec.mayMiss - 1;

/**
 * A move costs more time away than a host that takes its task along: 1.4 s against 1.0 s where pools are idle, and in
 * busy ones 17 to 22 % (simulated fleet; a task takes 1 s to be at work). So tasks move where the step's hosts would
 * take too long otherwise, by 25.7 s against 23 s, and not off hosts that need not drain. Two tasks of a step on one
 * host need twice the allowance at once, which may never be free.
 */
const isWorthMoving = (endpoint: EndpointState, step: StepRun, { tightSteps }: WavePlan): boolean =>
  countAtWork(endpoint, step) > 1 || (tightSteps.has(step) && !isQuiet(endpoint));

const moveOneOf = (
  candidate: Candidate,
  endpoint: EndpointState,
  round: UpkeepRound,
  step: StepRun,
): boolean => {
  const { world, wave, plan, claimed, nowMs } = round;
  const { state } = world;
  if (!isWorthMoving(endpoint, step, plan)) return false;
  const away = countAway(state, step, endpoint) + (claimed.get(step) ?? 0);
  if (away > mayBeAwayBeside(candidate, round, step)) return false;
  const moved = moveOneAway(state, endpoint, {
    step,
    away,
    nowMs,
    mayMove: ({ key }) => !wave.moved.has(key),
    // On a host with maintenance ahead it would have to move again.
    mayTake: ({ isAwaited }) => !isAwaited,
  });
  if (!moved) return false;
  wave.moved.add(moved.key);
  change(candidate.host, { reason: `task ${moved.key} is moved off it first` });
  return true;
};

/**
 * Moves a task of each lasting step off a host of a wave, where the step's allowance and room elsewhere let it.
 *
 * @param candidate - The host; it has not been ordered down.
 * @param round - The pass; the wave's record of moved tasks is changed in place.
 */
export const moveTasksEarly = (candidate: Candidate, round: UpkeepRound): void => {
  const { endpoint, lasting } = candidate;
  if (!endpoint || round.world.state.suspectedDomains.size > 0) return;
  lasting.forEach((step) => moveOneOf(candidate, endpoint, round, step));
};
