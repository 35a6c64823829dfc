/**
 * Scores that rate how suitable an endpoint is for a task, each with a name and a weight. An endpoint's total score is the
 * weighted sum. The endpoint with the highest total takes the task; among equal totals the first one.
 */
import { dataCentreCountKey, rackCountKey } from '../domains/domains.js';
import type { PlacementPolicy } from '../model/placement-policy.js';
import type { BatchState, EndpointState, StepRun, Task } from '../model/state.js';

/** The values that a score is computed from, apart from the endpoint. */
export type PlacementView = {
  readonly state: BatchState;
  readonly nowMs: number;
  readonly step: StepRun;
  readonly task: Task;
};

/** One named score. */
export type PlacementScore = {
  /** The name that operators see. */
  readonly name: string;
  /** The factor by which the score enters the total. */
  readonly weight: number;
  /** Computes the score: from 0 to 1, or for counts of tasks the count. */
  readonly compute: (endpoint: EndpointState, view: PlacementView) => number;
  /** The score takes precedence over the spread over racks and data centres. */
  readonly outranksSpread?: boolean;
  /** The score depends on the task, and is 0 for a task that has no endpoint to avoid. */
  readonly dependsOnTask?: boolean;
};

const fullness: PlacementScore['compute'] = ({ used, capacity }) =>
  used.cpuMillis / Math.max(1, capacity.cpuMillis);

const nearData: PlacementScore['compute'] = ({ labels }, { step: { spec } }) =>
  Number(spec.nearRack !== '' && labels.includes(spec.nearRack));

const failedThere: PlacementScore['compute'] = ({ endpointId }, { task }) =>
  Number(task.avoidedEndpoint === endpointId);

/** A long-running task that starts on a host with upcoming maintenance would have to move again. */
const wouldMoveAgain: PlacementScore['compute'] = ({ hasMaintenanceAhead }, { step: { spec } }) =>
  Number(spec.isLasting && hasMaintenanceAhead);

const tasksInRack: PlacementScore['compute'] = ({ domains }, { step: { perDomain } }) =>
  perDomain.get(rackCountKey(domains)) ?? 0;

const tasksInDataCentre: PlacementScore['compute'] = ({ domains }, { step: { perDomain } }) =>
  perDomain.get(dataCentreCountKey(domains)) ?? 0;

/**
 * An endpoint is cold, and therefore slow, for a time after its data centre was returned to service. A warm
 * endpoint with free capacity is preferred.
 */
const coldness: PlacementScore['compute'] = ({ coldUntilMs }, { nowMs }) =>
  Number(coldUntilMs > nowMs);

/** Tells whether the endpoint holds tasks of the same job, counting all steps of the occurrence. */
const hasJobOnEndpoint: PlacementScore['compute'] = ({ endpointId }, { step: { occurrence } }) =>
  Number(occurrence.steps.some(({ perEndpoint }) => perEndpoint.has(endpointId)));

/** Tells whether the endpoint's rack holds tasks of the same job, counting all steps of the occurrence. */
const hasJobInRack: PlacementScore['compute'] = ({ domains }, { step: { occurrence } }) =>
  Number(occurrence.steps.some(({ perDomain }) => perDomain.has(rackCountKey(domains))));

/** Being near the task's data outweighs fullness, and avoiding the endpoint of the task's last failure outweighs both. */
export const PLACEMENT_SCORES: readonly PlacementScore[] = [
  { name: 'fullest', weight: 1, compute: fullness },
  { name: 'near its data', weight: 2, compute: nearData },
  {
    name: 'failed there',
    weight: -4,
    compute: failedThere,
    outranksSpread: true,
    dependsOnTask: true,
  },
  { name: 'maintenance ahead', weight: -3, compute: wouldMoveAgain, outranksSpread: true },
  { name: 'cold', weight: -1, compute: coldness },
];

/**
 * The weights of the spread over domains. One task more or less in a data centre outweighs all scores that do not outrank
 * the spread. One task more or less in a rack outweighs the 20,000 tasks that a job may have in a data centre. The scores
 * that outrank the spread outweigh 20,000 tasks in a rack.
 */
const DATA_CENTRE_WEIGHT = -10;
const RACK_WEIGHT = -1e6;
const OUTRANKING_FACTOR = 1e11;
/**
 * The weight of having tasks of the same job in the rack, and again of having them on the endpoint. The former outweighs
 * fullness and being near the data together; both together outweigh these two and tasks in another endpoint's rack.
 */
const TOGETHER_WEIGHT = 5;

/** The scores of every table that spreads tasks, with those that outrank the spread weighted above the spread's own weights. */
const SCORES_AROUND_SPREAD = PLACEMENT_SCORES.map((score) =>
  score.outranksSpread ? { ...score, weight: score.weight * OUTRANKING_FACTOR } : score,
);

const SPREAD_OVER_RACKS: PlacementScore = {
  name: 'spread over racks',
  weight: RACK_WEIGHT,
  compute: tasksInRack,
};

/** A named table of scores; the name says in a few words where the table places tasks. */
export type ScoreTable = {
  readonly name: string;
  readonly scores: readonly PlacementScore[];
  /** A placement changes the scores of all endpoints in the same rack or data centre. */
  readonly dependsOnDomain?: boolean;
};

const FULLEST: ScoreTable = { name: 'fullest', scores: PLACEMENT_SCORES };

/** For long-running steps if endpoints have racks: the loss of one domain then affects as few tasks as possible. */
const SPREAD: ScoreTable = {
  name: 'spread over racks and data centres',
  dependsOnDomain: true,
  scores: [
    ...SCORES_AROUND_SPREAD,
    SPREAD_OVER_RACKS,
    { name: 'spread over data centres', weight: DATA_CENTRE_WEIGHT, compute: tasksInDataCentre },
  ],
};

/** The tables for short steps, by placement policy. */
const SHORT_STEPS: Readonly<Record<PlacementPolicy, ScoreTable>> = {
  fullest: FULLEST,
  spread: {
    name: 'spread over racks',
    dependsOnDomain: true,
    scores: [...SCORES_AROUND_SPREAD, SPREAD_OVER_RACKS],
  },
  together: {
    name: 'beside its job',
    dependsOnDomain: true,
    scores: [
      ...SCORES_AROUND_SPREAD,
      { name: 'host of its job', weight: TOGETHER_WEIGHT, compute: hasJobOnEndpoint },
      { name: 'rack of its job', weight: TOGETHER_WEIGHT, compute: hasJobInRack },
    ],
  },
};

const hasRack = ({ domains }: EndpointState): boolean => domains.rack !== null;

/**
 * Chooses the table of scores for a step. A long-running step is spread only if some endpoint has a rack.
 *
 * @param state - The batch state.
 * @param endpoints - The endpoints that may take tasks of the step.
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
 * Computes the total score of an endpoint for a task.
 *
 * @param endpoint - The endpoint.
 * @param view - The task and the state that its scores are computed from.
 * @param scores - The scores to add up.
 * @returns The weighted sum of all scores; larger is better.
 */
export const computeTotalScore = (
  endpoint: EndpointState,
  view: PlacementView,
  scores: readonly PlacementScore[],
): number => {
  let sum = 0;
  scores.forEach(({ weight, compute }) => {
    sum += weight * compute(endpoint, view);
  });
  return sum;
};
