/**
 * How good an endpoint is for a task: named scores with their weights. An endpoint's score is the sum; the greatest
 * one takes the task, the first of equals.
 */
import { dataCentreCountKey, rackCountKey } from '../domains/domains.js';
import type { PlacementPolicy } from '../model/placement-policy.js';
import type { BatchState, EndpointState, StepRun, Task } from '../model/state.js';

/** What a score is reckoned from. */
export type PlacementView = {
  readonly state: BatchState;
  readonly nowMs: number;
  readonly step: StepRun;
  readonly task: Task;
};

/** One score. */
export type PlacementScore = {
  /** For operators. */
  readonly name: string;
  /** What the score counts for. */
  readonly weight: number;
  /** From 0 to 1; for counts of tasks, the count. */
  readonly of: (endpoint: EndpointState, view: PlacementView) => number;
  /** It decides before the spread over racks and data centres does. */
  readonly outranksSpread?: boolean;
  /** It depends on the task, and is 0 for one that has failed nowhere. */
  readonly isOfTask?: boolean;
};

const fullness: PlacementScore['of'] = ({ used, capacity }) =>
  used.cpuMillis / Math.max(1, capacity.cpuMillis);

const isNearData: PlacementScore['of'] = ({ labels }, { step: { spec } }) =>
  Number(spec.nearRack !== '' && labels.includes(spec.nearRack));

const hasFailedTask: PlacementScore['of'] = ({ endpointId }, { task }) =>
  Number(task.avoid === endpointId);

/** A long-running task that begins on a host with maintenance ahead would move again. */
const movesAgain: PlacementScore['of'] = ({ isAwaited }, { step: { spec } }) =>
  Number(spec.isLasting && isAwaited);

const tasksInRack: PlacementScore['of'] = ({ domains }, { step: { perDomain } }) =>
  perDomain.get(rackCountKey(domains)) ?? 0;

const tasksInDataCentre: PlacementScore['of'] = ({ domains }, { step: { perDomain } }) =>
  perDomain.get(dataCentreCountKey(domains)) ?? 0;

/** An endpoint that is slow after its data centre was taken back: a warm one with room goes first. */
const isCold: PlacementScore['of'] = ({ coldUntilMs }, { nowMs }) => Number(coldUntilMs > nowMs);

/** Tasks of the same job: of all steps of one occurrence. */
const isHostOfJob: PlacementScore['of'] = ({ endpointId }, { step: { occurrence } }) =>
  Number(occurrence.steps.some(({ perEndpoint }) => perEndpoint.has(endpointId)));

const isRackOfJob: PlacementScore['of'] = ({ domains }, { step: { occurrence } }) =>
  Number(occurrence.steps.some(({ perDomain }) => perDomain.has(rackCountKey(domains))));

/** Being near its data outweighs fullness, and a place that has not failed the task outweighs both. */
export const PLACEMENT_SCORES: readonly PlacementScore[] = [
  { name: 'fullest', weight: 1, of: fullness },
  { name: 'near its data', weight: 2, of: isNearData },
  { name: 'failed there', weight: -4, of: hasFailedTask, outranksSpread: true, isOfTask: true },
  { name: 'maintenance ahead', weight: -3, of: movesAgain, outranksSpread: true },
  { name: 'cold', weight: -1, of: isCold },
];

/**
 * One task more or less in a data centre outweighs all rows that do not outrank the spread, one in a rack outweighs
 * the 20,000 tasks that a job may have in a data centre, and the rows above outweigh as many in a rack.
 */
const DATA_CENTRE_WEIGHT = -10;
const RACK_WEIGHT = -1e6;
const OUTRANKING = 1e11;
/** Tasks of the same job in the rack outweigh fullness and near-data, on the host both and the rack. */
const TOGETHER_WEIGHT = 5;

/** The rows of every table, with room for others between those that outrank them and the rest. */
const RANKED_SCORES = PLACEMENT_SCORES.map((score) =>
  score.outranksSpread ? { ...score, weight: score.weight * OUTRANKING } : score,
);

const SPREAD_OVER_RACKS: PlacementScore = {
  name: 'spread over racks',
  weight: RACK_WEIGHT,
  of: tasksInRack,
};

/** A table of scores, and what it does in a word or two. */
export type ScoreTable = {
  readonly name: string;
  readonly scores: readonly PlacementScore[];
  /** A placement changes the scores of all endpoints in the same rack and data centre. */
  readonly isByDomain?: boolean;
};

const FULLEST: ScoreTable = { name: 'fullest', scores: PLACEMENT_SCORES };

/** For long-running steps where endpoints have racks: the loss of one takes as few tasks as can be. */
const SPREAD: ScoreTable = {
  name: 'spread over racks and data centres',
  isByDomain: true,
  scores: [
    ...RANKED_SCORES,
    SPREAD_OVER_RACKS,
    { name: 'spread over data centres', weight: DATA_CENTRE_WEIGHT, of: tasksInDataCentre },
  ],
};

/** For short steps. */
const SHORT_STEPS: Readonly<Record<PlacementPolicy, ScoreTable>> = {
  fullest: FULLEST,
  spread: {
    name: 'spread over racks',
    isByDomain: true,
    scores: [...RANKED_SCORES, SPREAD_OVER_RACKS],
  },
  together: {
    name: 'beside its job',
    isByDomain: true,
    scores: [
      ...RANKED_SCORES,
      { name: 'host of its job', weight: TOGETHER_WEIGHT, of: isHostOfJob },
      { name: 'rack of its job', weight: TOGETHER_WEIGHT, of: isRackOfJob },
    ],
  },
};

const hasRack = ({ domains }: EndpointState): boolean => domains.rack !== null;

/**
 * Chooses the table of scores for a step. Without a rack among the endpoints, spread changes nothing.
 *
 * @param state - All that is known.
 * @param endpoints - The endpoints that may take its tasks.
 * @param step - The step.
 * @returns The table.
 */
export const scoresFor = (
  { placementPolicy }: BatchState,
  endpoints: readonly EndpointState[],
  { spec }: StepRun,
): ScoreTable => {
  if (!spec.isLasting) return SHORT_STEPS[placementPolicy];
  return endpoints.some(hasRack) ? SPREAD : FULLEST;
};

/**
 * Scores an endpoint for a task.
 *
 * @param endpoint - The endpoint.
 * @param view - The task, and what is known.
 * @param scores - The table.
 * @returns The sum of all scores by their weights; larger is better.
 */
export const scoreOf = (
  endpoint: EndpointState,
  view: PlacementView,
  scores: readonly PlacementScore[],
): number => {
  let sum = 0;
  scores.forEach(({ weight, of }) => {
    sum += weight * of(endpoint, view);
  });
  return sum;
};
