/**
 * The endpoints that may take the tasks of a step: scored once, and then only where the placement of a task changes a
 * score. Scoring all of them for each task took 0.1 ms at 900 endpoints.
 */
import { dataCentreCountKey, rackCountKey } from '../domains/domains.js';
import { mayHold } from '../endpoints/sound-endpoints.js';
import type { DomainId } from '../../shared/ids.js';
import type { EndpointState, Task } from '../model/state.js';
import { bestFor } from './best-endpoint.js';
import type { PlacementView, ScoreTable } from './scores.js';

/** Endpoints among which places are chosen for tasks of one step, one after the other. */
export type Candidates = {
  /**
   * Chooses the endpoint with the best score that may hold a task, the first of equals.
   *
   * @param task - The task.
   * @returns The endpoint; undefined where none has room.
   */
  readonly choose: (task: Task) => EndpointState | undefined;
  /**
   * Scores again what a placement has changed.
   *
   * @param endpoint - Where a task was placed.
   */
  readonly notePlaced: (endpoint: EndpointState) => void;
};

/** Numbers the domains of endpoints, as numbers compare faster than names. */
const numberDomains = (
  endpoints: readonly EndpointState[],
  keyOf: (domains: EndpointState['domains']) => DomainId,
): Int32Array => {
  const numbers = new Map<DomainId, number>();
  const found = new Int32Array(endpoints.length);
  endpoints.forEach(({ domains }, index) => {
    const key = keyOf(domains);
    const number = numbers.get(key) ?? numbers.size;
    if (number === numbers.size) numbers.set(key, number);
    found[index] = number;
  });
  return found;
};

/**
 * Builds the candidates of a step.
 *
 * @param endpoints - The endpoints that take new work.
 * @param view - The step, and what is known.
 * @param table - What makes an endpoint better than another.
 * @returns The candidates. Nothing but placements of the step may change them.
 */
export const createCandidates = (
  endpoints: readonly EndpointState[],
  view: Omit<PlacementView, 'task'>,
  { scores, isByDomain = false }: ScoreTable,
): Candidates => {
  const { step } = view;
  /** Rows that depend on the task are 0 for a task that has failed nowhere. */
  const rows = scores.filter(({ isOfTask }) => !isOfTask);
  const someTask = step.tasks[0] as Task;
  const shared: PlacementView = { ...view, task: someTask };

  const valueOf = (endpoint: EndpointState): number => {
    if (!mayHold(endpoint, step)) return -Infinity;
    let sum = 0;
    for (let row = 0; row < rows.length; row += 1) {
      const { weight, of } = rows[row] as (typeof rows)[number];
      sum += weight * of(endpoint, shared);
    }
    return sum;
  };

  const values = new Float64Array(endpoints.length);
  endpoints.forEach((endpoint, index) => {
    values[index] = valueOf(endpoint);
  });
  const racks = isByDomain ? numberDomains(endpoints, rackCountKey) : undefined;
  const dataCentres = isByDomain ? numberDomains(endpoints, dataCentreCountKey) : undefined;

  const chooseIndex = (): number => {
    let best = -1;
    let bestValue = -Infinity;
    for (let index = 0; index < values.length; index += 1) {
      const value = values[index] as number;
      if (value > bestValue) {
        best = index;
        bestValue = value;
      }
    }
    return best;
  };

  /** All in the domains of one: the counts of its rack and its data centre have changed. */
  const scoreNeighbours = (placed: number): void => {
    if (!racks || !dataCentres) return;
    for (let index = 0; index < values.length; index += 1) {
      const isNeighbour =
        racks[index] === racks[placed] || dataCentres[index] === dataCentres[placed];
      if (isNeighbour) values[index] = valueOf(endpoints[index] as EndpointState);
    }
  };

  return {
    choose: (task) =>
      task.avoid === null
        ? endpoints[chooseIndex()]
        : bestFor(endpoints, { ...view, task }, scores),
    notePlaced: (endpoint) => {
      const placed = endpoints.indexOf(endpoint);
      values[placed] = valueOf(endpoint);
      scoreNeighbours(placed);
    },
  };
};
