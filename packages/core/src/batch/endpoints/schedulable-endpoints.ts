/**
 * Determines which endpoints are schedulable, that is, may get new work, and whether an endpoint may hold a task of a
 * step.
 */
import type { InstanceId, PoolName } from '../../shared/ids.js';
import { isSuspected } from '../domains/suspected-domains.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import type { StepSpec } from '../model/job.js';
import { hasAnswered } from './listing-status.js';
import { hasRunOfUnknownSize } from './orphan-runs.js';
import { fitsIn } from './runs.js';
import type { BatchState, EndpointState, StepRun } from '../model/state.js';

/**
 * An entry that has replaced this holder waits for the reports of the endpoints that were listed when it took over. An
 * endpoint that was listed later would still accept orders of this holder. Nothing is started there until this entry
 * is certain again to be the only holder; otherwise a waiting task could run twice.
 */
const isKnownToSuccessor = (
  { seenAtMs }: EndpointState,
  { soleHolderUntilMs }: BatchState,
): boolean => seenAtMs < soleHolderUntilMs;

/**
 * Tells whether an endpoint is schedulable: it has responded, is neither draining nor cordoned, neither evacuated nor
 * suspected lost, is not withheld, and has free capacity that is known.
 *
 * @param state - The holder's batch state.
 * @param endpoint - The endpoint.
 * @param nowMs - The current time.
 * @returns True if its capacity counts as available to the pool.
 */
export const isSchedulable = (state: BatchState, endpoint: EndpointState, nowMs: number): boolean =>
  hasAnswered(endpoint) &&
  isKnownToSuccessor(endpoint, state) &&
  !endpoint.isDraining &&
  !endpoint.isCordoned &&
  !state.evacuatedDataCentres.has(endpoint.dataCentre) &&
  !isSuspected(state, endpoint) &&
  !hasRunOfUnknownSize(endpoint, nowMs) &&
  endpoint.withheldUntilMs <= nowMs;

/**
 * Lists the schedulable endpoints of a pool.
 *
 * @param state - The holder's batch state.
 * @param pool - The pool.
 * @param nowMs - The current time.
 * @returns The endpoints.
 */
export const schedulableEndpoints = (
  state: BatchState,
  pool: PoolName,
  nowMs: number,
): readonly EndpointState[] =>
  Array.from(state.endpoints.values()).filter(
    (endpoint) => endpoint.pool === pool && isSchedulable(state, endpoint, nowMs),
  );

/**
 * Tells whether an endpoint has a label.
 *
 * @param endpoint - The endpoint.
 * @param label - The label; '' if none is required.
 * @returns True if the endpoint has the label, or if none is required.
 */
export const hasLabel = ({ labels }: EndpointState, label: string): boolean =>
  label === '' || labels.includes(label);

/**
 * Tells whether an endpoint may hold one more task of a step.
 *
 * @param endpoint - The endpoint.
 * @param step - The step.
 * @returns True if it has the label and the free capacity, and holds fewer tasks of the step than it may.
 */
export const canHoldTask = (endpoint: EndpointState, { spec, perEndpoint }: StepRun): boolean =>
  hasLabel(endpoint, spec.requiredLabel) &&
  fitsIn(endpoint, spec) &&
  (spec.mostPerEndpoint === 0 ||
    (perEndpoint.get(endpoint.endpointId) ?? 0) < spec.mostPerEndpoint);

const NOTHING_USED = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/**
 * Tells whether an earlier holder may have started a task of a step on an endpoint that has not responded yet. The
 * endpoint's label and capacity are those of its host. An endpoint that is not listed, or that has an earlier
 * incarnation whose runs are not given up yet, may run anything.
 *
 * @param state - The holder's batch state.
 * @param instanceId - The endpoint.
 * @param spec - The step.
 * @returns False if the endpoint lacks the label, or lacks the capacity even when it is empty.
 */
export const mayRunInheritedTask = (
  state: BatchState,
  instanceId: InstanceId,
  spec: StepSpec,
): boolean => {
  const endpoint = state.currentIncarnations.get(instanceId);
  const hasFormerIncarnation = Array.from(state.goneEndpoints.keys()).some(
    (endpointId) => instanceIdOf(endpointId) === instanceId,
  );
  if (!endpoint || hasFormerIncarnation) return true;
  return (
    hasLabel(endpoint, spec.requiredLabel) && fitsIn({ ...endpoint, used: NOTHING_USED }, spec)
  );
};
