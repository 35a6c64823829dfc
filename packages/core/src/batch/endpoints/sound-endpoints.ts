/** Which endpoints take new work, and whether one may hold a task of a step. */
import type { InstanceId, PoolName } from '../../shared/ids.js';
import { isSuspected } from '../domains/outage.js';
import { instanceOf } from '../model/endpoint-life.js';
import type { StepSpec } from '../model/job.js';
import { fitsIn } from './runs.js';
import type { BatchState, EndpointState, StepRun } from '../model/state.js';

/**
 * Whoever has replaced this holder waits for the endpoints that were listed as it took over. One that
 * came later would still take this holder's orders: nothing is begun there until this holder is sure
 * again, or a task that waited here would run twice.
 */
const isKnownToNext = ({ seenAtMs }: EndpointState, { soleHolderUntilMs }: BatchState): boolean =>
  seenAtMs < soleHolderUntilMs;

/**
 * Tells whether an endpoint serves its pool: it has answered, stays, and is not withheld.
 *
 * @param state - All that is known.
 * @param endpoint - The endpoint.
 * @param nowMs - The time.
 * @returns True if its room counts.
 */
export const isSound = (state: BatchState, endpoint: EndpointState, nowMs: number): boolean =>
  endpoint.isKnown &&
  isKnownToNext(endpoint, state) &&
  !endpoint.isDraining &&
  !endpoint.isClosing &&
  !state.evacuated.has(endpoint.dataCentre) &&
  !isSuspected(state, endpoint) &&
  endpoint.withheldUntilMs <= nowMs;

/**
 * Lists the endpoints of a pool that take new work.
 *
 * @param state - All that is known.
 * @param pool - The pool.
 * @param nowMs - The time.
 * @returns The endpoints.
 */
export const usableEndpoints = (
  state: BatchState,
  pool: PoolName,
  nowMs: number,
): readonly EndpointState[] =>
  Array.from(state.endpoints.values()).filter(
    (endpoint) => endpoint.pool === pool && isSound(state, endpoint, nowMs),
  );

/**
 * Tells whether an endpoint has a label.
 *
 * @param endpoint - The endpoint.
 * @param label - The label; '' for none.
 * @returns True if it has, or none is asked for.
 */
export const hasLabel = ({ labels }: EndpointState, label: string): boolean =>
  label === '' || labels.includes(label);

/**
 * Tells whether an endpoint may hold one more task of a step.
 *
 * @param endpoint - The endpoint.
 * @param step - The step.
 * @returns True if it has the label and the room, and does not hold as many as it may.
 */
export const mayHold = (endpoint: EndpointState, { spec, perEndpoint }: StepRun): boolean =>
  hasLabel(endpoint, spec.requiredLabel) &&
  fitsIn(endpoint, spec) &&
  (spec.mostPerEndpoint === 0 ||
    (perEndpoint.get(endpoint.endpointId) ?? 0) < spec.mostPerEndpoint);

const NOTHING_USED = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Tells whether an earlier holder may have begun a task of a step on an endpoint that has not answered. Its label and
 * room are those of its host. One that is not listed, or of which an earlier life is not settled, may run anything.
 *
 * @param state - All that is known.
 * @param instanceId - The endpoint.
 * @param spec - The step.
 * @returns False if it lacks the label or the room even while it is empty.
 */
export const mayHaveBegun = (
  state: BatchState,
  instanceId: InstanceId,
  spec: StepSpec,
): boolean => {
  const life = state.lives.get(instanceId);
  const hasFormerLife = Array.from(state.goneEndpoints.keys()).some(
    (endpointId) => instanceOf(endpointId) === instanceId,
  );
  if (!life || hasFormerLife) return true;
  return hasLabel(life, spec.requiredLabel) && fitsIn({ ...life, used: NOTHING_USED }, spec);
};
