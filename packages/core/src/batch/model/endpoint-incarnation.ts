/**
 * Incarnations of endpoints. An endpoint may restart under the same platform id; it then has no runs, no memory of earlier
 * orders, and its counters start again. Each incarnation is therefore treated as an endpoint of its own, with its own
 * `EndpointId`. State kept under an `EndpointId` ends with the incarnation; state that must outlast it is kept under the
 * `InstanceId`.
 *
 * Incarnations are told apart by their start time but never ordered by it, because the clocks of hosts can jump. An
 * answer from another incarnation than the one that was asked always comes from a later one, because the endpoint list
 * is read before the question is sent.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import { brand, type EndpointId, type InstanceId } from '../../shared/ids.js';
import type { OrderError } from './orders.js';

/** Separates the instance id from the start time. */
const SEPARATOR = '@';
/** The radix of the start time. Ids are in each line of the log, and this radix needs 8 characters instead of 13. */
const RADIX = 36;

/**
 * Builds the id of one incarnation of an endpoint.
 *
 * @param instanceId - The id that the endpoint has on the platform.
 * @param startedAtMs - The wall-clock time of its start, by its host's clock, in milliseconds since 1970.
 * @returns The id of the incarnation.
 */
export const endpointIdOf = (instanceId: string, startedAtMs: number): EndpointId =>
  brand<EndpointId>(`${instanceId}${SEPARATOR}${startedAtMs.toString(RADIX)}`);

/**
 * Returns the id that an endpoint has on the platform, which all its incarnations share.
 *
 * @param endpointId - The id of an incarnation.
 * @returns The platform's id.
 */
export const instanceIdOf = (endpointId: EndpointId): InstanceId => {
  const separatorAt = endpointId.lastIndexOf(SEPARATOR);
  return brand<InstanceId>(separatorAt < 0 ? endpointId : endpointId.slice(0, separatorAt));
};

/**
 * Returns the wall-clock time at which an incarnation started, by its host's clock.
 *
 * @param endpointId - The id of the incarnation.
 * @returns The time in milliseconds since 1970; undefined if the platform does not report it.
 */
export const incarnationStartMs = (endpointId: EndpointId): number | undefined => {
  const start = endpointId.lastIndexOf(SEPARATOR);
  const atMs = start < 0 ? 0 : parseInt(endpointId.slice(start + 1), RADIX);
  return atMs > 0 ? atMs : undefined;
};

/**
 * Rejects an answer that came from another incarnation, because its lists say nothing about the incarnation that was
 * asked.
 *
 * @param endpointId - The incarnation that was asked.
 * @param answeringStartMs - When the incarnation that answered started; undefined if the platform does not report it.
 * @param answer - The answer.
 * @returns The answer, or an error with the reason `other-life`.
 */
export const requireSameIncarnation = <Answer>(
  endpointId: EndpointId,
  answeringStartMs: number | undefined,
  answer: Answer,
): Result<Answer, OrderError> => {
  const answeringId =
    answeringStartMs === undefined
      ? endpointId
      : endpointIdOf(instanceIdOf(endpointId), answeringStartMs);
  if (answeringId === endpointId) return Ok(answer);
  return Err({ verdict: 'mayHaveRun', reason: 'other-life', detail: `${answeringId} answers` });
};
