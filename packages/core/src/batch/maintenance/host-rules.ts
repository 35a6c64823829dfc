/**
 * Decides whether a host of a maintenance wave may go down now. Each rule checks for one reason to hold a host back. The
 * first rule that applies decides; a host to which none applies is ordered down.
 */
import type { HostId } from '../../shared/ids.js';
import {
  findBudgetViolation,
  runsOnlyLongRunningTasks,
  type BudgetViolation,
} from '../pools/listed-hosts.js';
import { hasAnswered, hasUnlistedEnds } from '../endpoints/listing-status.js';
import type { BatchState, EndpointState, StepRun } from '../model/state.js';
import type { KnownHosts, MaintenanceHost, MaintenanceWave } from './wave-progress.js';
import { MAX_DRAIN_MS, latestStartOf, type WavePlan } from './wave-plan.js';

/** The input of planning: hosts, endpoints and pools. */
export type MaintenanceContext = KnownHosts & {
  readonly state: BatchState;
  /** True if any pool lacks capacity. */
  readonly isCapacityShort: boolean;
};

/** A host of a wave that is up and has not yet been ordered down. */
export type Candidate = {
  readonly hostId: HostId;
  readonly host: MaintenanceHost;
  /** The endpoint that runs on the host; undefined if there is none. */
  readonly endpoint: EndpointState | undefined;
  /** Its data centre is evacuated. No tasks start on it, so taking it down costs no usable capacity. */
  readonly isEvacuated: boolean;
  /** The long-running steps with a disruption budget that have tasks on it. */
  readonly longRunningSteps: ReadonlySet<StepRun>;
  /** The label of its rack; '' if it has none. */
  readonly rack: string;
};

/** One planning pass over the candidates of a wave, with the results of the decisions made so far. */
export type PlanningPass = {
  readonly context: MaintenanceContext;
  readonly wave: MaintenanceWave;
  readonly nowMs: number;
  /** The latest times until which hosts may wait to become empty by themselves. */
  readonly plan: WavePlan;
  /** For each step, the racks in which other waves have taken down hosts with tasks of that step. */
  readonly racksOfOtherWaves: ReadonlyMap<StepRun, ReadonlySet<string>>;
  /** Maximum number of hosts that may be ordered down in this pass. */
  readonly maxNewOrders: number;
  /** The hosts ordered down so far in this pass. */
  readonly orderedDown: HostId[];
  /** Number of hosts whose endpoints were cordoned so far in this pass, including those ordered down. */
  cordonedCount: number;
  /** For each step, the number of its tasks on draining hosts that will go down with their hosts. */
  readonly reservedTasks: Map<StepRun, number>;
};

/** The decision on a candidate, and the reason why it must wait; '' if nothing blocks it. */
export type HostDecision =
  /** The host continues to take work. */
  | { readonly kind: 'keep-open'; readonly reason: string }
  /** The host gets no new work, so that it can go down soon. */
  | { readonly kind: 'drain'; readonly reason: string }
  /** The host drains and one task of a step that has too many tasks on it is moved elsewhere. */
  | {
      readonly kind: 'spread';
      readonly endpoint: EndpointState;
      readonly obstacle: BudgetViolation;
      readonly reason: string;
    }
  | { readonly kind: 'order-down'; readonly reason: '' };

type Rule = (candidate: Candidate, pass: PlanningPass) => HostDecision | undefined;

/** Number of hosts beyond the maximum that drain in advance, so that the next host is ready as soon as one is back. */
const DRAIN_AHEAD = 2;

const keepOpen = (reason: string): HostDecision => ({ kind: 'keep-open', reason });

const drain = (reason: string): HostDecision => ({ kind: 'drain', reason });

/** Before a host's latest start time, keeps it in use while it is busy or a pool lacks capacity. */
const deferWhileTimeRemains: Rule = (candidate, { context, plan, nowMs }) => {
  const { endpoint, isEvacuated } = candidate;
  if (nowMs >= latestStartOf(plan, candidate)) return undefined;
  if (context.isCapacityShort && !isEvacuated)
    return keepOpen('capacity is short, and there is time left');
  const isAtWork = endpoint !== undefined && !runsOnlyLongRunningTasks(endpoint);
  return isAtWork ? keepOpen('it is running tasks, and there is time left') : undefined;
};

/**
 * The full extent of a suspected outage is not known yet, so none of any step's disruption budget is spent on
 * maintenance.
 */
const waitForSuspectedDomains: Rule = ({ longRunningSteps }, { context }) => {
  if (longRunningSteps.size === 0 || context.state.suspectedDomains.size === 0) return undefined;
  return keepOpen('a rack or a data centre is suspected lost');
};

/**
 * Keeps the maintenance of all waves that affects one step to one rack at a time. Otherwise losing a rack during
 * maintenance in another one would make tasks of the step unavailable in both.
 */
const keepToOneRack: Rule = ({ longRunningSteps, rack }, { racksOfOtherWaves }) => {
  if (rack === '') return undefined;
  const shared = Array.from(longRunningSteps).find((step) =>
    Array.from(racksOfOtherWaves.get(step) ?? []).some((other) => other !== rack),
  );
  return (
    shared && keepOpen(`another wave has hosts of job ${shared.job.job.jobId} down in another rack`)
  );
};

const limitDraining: Rule = (_candidate, { wave, cordonedCount }) => {
  const isFull = cordonedCount >= wave.request.maximum + DRAIN_AHEAD;
  return isFull ? keepOpen('as many hosts as allowed are ahead of it') : undefined;
};

/**
 * Tells whether a host has more tasks of a step than its disruption budget, so that it could never go down with all
 * of them.
 */
const exceedsBudgetAlone = ({ runs }: EndpointState, { step }: BudgetViolation): boolean => {
  const staying = Array.from(runs.values()).filter(
    (run) => run.step === step && run.phase !== 'stopping',
  );
  return staying.length > step.spec.mayMiss;
};

const keepWithinBudgets: Rule = ({ endpoint }, { context }) => {
  if (!endpoint) return undefined;
  const obstacle = findBudgetViolation(context.state, endpoint);
  if (!obstacle) return undefined;
  const { reason } = obstacle;
  if (!exceedsBudgetAlone(endpoint, obstacle)) return keepOpen(reason);
  return { kind: 'spread', endpoint, obstacle, reason };
};

/** Hosts that each stay within a step's disruption budget could exceed it together. */
const keepWithinCombinedBudgets: Rule = ({ endpoint }, { context, reservedTasks }) => {
  const obstacle = endpoint && findBudgetViolation(context.state, endpoint, reservedTasks);
  return obstacle && keepOpen(`job ${obstacle.step.job.job.jobId} has another host draining first`);
};

const keepWithinMaximum: Rule = (_candidate, { wave, orderedDown, maxNewOrders }) => {
  if (orderedDown.length < maxNewOrders) return undefined;
  return drain(`${wave.request.maximum} hosts are down, which is the maximum`);
};

const waitForListedRuns: Rule = ({ hostId, endpoint }, { context }) => {
  const instanceId = context.inventory.hosts.get(hostId)?.instanceId ?? null;
  if (instanceId === null) return undefined;
  // It is not known what an endpoint runs until it has answered this control holder.
  if (!endpoint || !hasAnswered(endpoint)) return drain('its endpoint has not answered yet');
  // Ends that it has not listed would be lost with it.
  return hasUnlistedEnds(endpoint) ? drain('its endpoint has ended runs to list') : undefined;
};

const waitForShortTasks: Rule = ({ host, endpoint }, { nowMs }) => {
  if (!endpoint) return undefined;
  const { runs, orphanRuns } = endpoint;
  if (orphanRuns.size === 0 && runsOnlyLongRunningTasks(endpoint)) return undefined;
  const drainingSinceMs = host.phase === 'waiting' ? nowMs : host.phaseSinceMs;
  if (nowMs - drainingSinceMs > MAX_DRAIN_MS) return undefined;
  return drain(`${runs.size + orphanRuns.size} tasks must end first`);
};

/** The rules in the order of evaluation: budgets come before rules that only delay a host. */
const rules: readonly Rule[] = [
  deferWhileTimeRemains,
  waitForSuspectedDomains,
  keepToOneRack,
  limitDraining,
  keepWithinBudgets,
  keepWithinCombinedBudgets,
  keepWithinMaximum,
  waitForListedRuns,
  waitForShortTasks,
];

/**
 * Decides what to do with a host, without changing any state.
 *
 * @param candidate - The host.
 * @param pass - The planning pass so far.
 * @returns The decision with its reason.
 */
export const decideHostAction = (candidate: Candidate, pass: PlanningPass): HostDecision => {
  const decision = rules.reduce<HostDecision | undefined>(
    (decided, rule) => decided ?? rule(candidate, pass),
    undefined,
  );
  return decision ?? { kind: 'order-down', reason: '' };
};
