/**
 * Lives of endpoints. An endpoint may start again under the id that it had; it then holds and knows
 * nothing of before, and its counts begin anew. So each life is an endpoint of its own here: nothing that is
 * kept under an `EndpointId` outlives it, and what does is kept under the `InstanceId`.
 *
 * Lives are told apart by the time of their start, and never ordered by it: hosts' clocks jump. An answer
 * of a life other than the one that was asked is of a later one, since the list is read before the question is sent.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import { brand, type EndpointId, type InstanceId } from '../../shared/ids.js';
import type { OrderError } from './orders.js';

const SEPARATOR = '@';
/** Ids stand in each line of the log: eight characters in place of thirteen. */
const RADIX = 36;

/**
 * Names one life of an endpoint.
 *
 * @param instanceId - The id that the endpoint has on the platform.
 * @param startedAtMs - The time of day of its start, by its host, in milliseconds.
 * @returns The life's own id.
 */
export const lifeOf = (instanceId: string, startedAtMs: number): EndpointId =>
  brand<EndpointId>(`${instanceId}${SEPARATOR}${startedAtMs.toString(RADIX)}`);

/**
 * Gives the id that an endpoint has on the platform, which its other lives may have too.
 *
 * @param endpointId - One life.
 * @returns The id.
 */
export const instanceOf = (endpointId: EndpointId): InstanceId => {
  const end = endpointId.lastIndexOf(SEPARATOR);
  return brand<InstanceId>(end < 0 ? endpointId : endpointId.slice(0, end));
};

/**
 * Gives the time of day at which a life began, by its host.
 *
 * @param endpointId - The life.
 * @returns The time in milliseconds; undefined where the platform does not tell.
 */
export const bornAtMs = (endpointId: EndpointId): number | undefined => {
  const start = endpointId.lastIndexOf(SEPARATOR);
  const atMs = start < 0 ? 0 : parseInt(endpointId.slice(start + 1), RADIX);
  return atMs > 0 ? atMs : undefined;
};

/**
 * Passes over what another life answered: its lists say nothing of the life that was asked.
 *
 * @param endpointId - The life that was asked.
 * @param answeringBornAtMs - When the life that answered was born; undefined where the platform does not tell.
 * @param answer - What it answered.
 * @returns The answer, or that another life has the id now.
 */
export const requireLife = <Answer>(
  endpointId: EndpointId,
  answeringBornAtMs: number | undefined,
  answer: Answer,
): Result<Answer, OrderError> => {
  const answering =
    answeringBornAtMs === undefined
      ? endpointId
      : lifeOf(instanceOf(endpointId), answeringBornAtMs);
  if (answering === endpointId) return Ok(answer);
  return Err({ verdict: 'mayHaveRun', reason: 'other-life', detail: `${answering} answers` });
};
