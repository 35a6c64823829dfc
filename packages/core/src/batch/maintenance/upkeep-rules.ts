/**
 * Whether a host of a maintenance wave may go down now. Each rule names one thing that holds a host
 * up; the first rule that applies decides, and a host that none holds up is ordered down.
 */
import type { HostId } from '../../shared/ids.js';
import { findBudgetObstacle, isQuiet, type BudgetObstacle } from '../pools/hosts.js';
import type { BatchState, EndpointState, StepRun } from '../model/state.js';
import type { HostSight, UpkeepHost, UpkeepWave } from './upkeep-progress.js';
import { DRAIN_PATIENCE_MS, latestBeginMs, type WavePlan } from './wave-plan.js';

/** What planning needs to know of hosts. */
export type UpkeepWorld = HostSight & {
  readonly state: BatchState;
  /** Some pool is short of room. */
  readonly isShort: boolean;
};

/** A host of a wave that is up and has not been ordered down yet. */
export type Candidate = {
  readonly hostId: HostId;
  readonly host: UpkeepHost;
  readonly endpoint: EndpointState | undefined;
  /** Nothing begins on it, so that it is no room that is missed. */
  readonly isEvacuated: boolean;
  /** The lasting steps with a budget that have tasks on it. */
  readonly lasting: ReadonlySet<StepRun>;
  /** The label of its rack; '' for one without. */
  readonly rack: string;
};

/** One pass over the candidates of a wave, with what was decided of those before. */
export type UpkeepRound = {
  readonly world: UpkeepWorld;
  readonly wave: UpkeepWave;
  readonly nowMs: number;
  /** Until when hosts may wait to become empty by themselves. */
  readonly plan: WavePlan;
  /** Racks in which other waves have hosts down that took tasks of a step along. */
  readonly racksOfOthers: ReadonlyMap<StepRun, ReadonlySet<string>>;
  /** How many hosts may be ordered down in this pass. */
  readonly freePlaces: number;
  /** The hosts that were ordered down. */
  readonly ordered: HostId[];
  /** How many hosts were closed to new work. */
  closingCount: number;
  /** How many tasks of steps the hosts that drain are to take along. */
  readonly claimed: Map<StepRun, number>;
};

/** What is decided of a candidate, and what it waits for; '' if nothing holds it up. */
export type HostDecision =
  /** It takes work as before. */
  | { readonly kind: 'keep-open'; readonly reason: string }
  /** It gets no new work, so that it can go soon. */
  | { readonly kind: 'drain'; readonly reason: string }
  /** It drains, and one task of a step that has too many of them on it moves away. */
  | {
      readonly kind: 'spread';
      readonly endpoint: EndpointState;
      readonly obstacle: BudgetObstacle;
      readonly reason: string;
    }
  | { readonly kind: 'order-down'; readonly reason: '' };

type Rule = (candidate: Candidate, round: UpkeepRound) => HostDecision | undefined;

/** Hosts that drain while others are down, so that the next one is ready. */
const CLOSING_AHEAD = 2;

const keepOpen = (reason: string): HostDecision => ({ kind: 'keep-open', reason });

const drain = (reason: string): HostDecision => ({ kind: 'drain', reason });

const waitWhileRelaxed: Rule = (candidate, { world, plan, nowMs }) => {
  const { endpoint, isEvacuated } = candidate;
  if (nowMs >= latestBeginMs(plan, candidate)) return undefined;
  if (world.isShort && !isEvacuated) return keepOpen('room is short, and there is time left');
  const isAtWork = endpoint !== undefined && !isQuiet(endpoint);
  return isAtWork ? keepOpen('it is at work, and there is time left') : undefined;
};

/** What else the domain takes down is not known yet, so nothing of any allowance is given away. */
const awaitSuspectedDomains: Rule = ({ lasting }, { world }) => {
  if (lasting.size === 0 || world.state.suspectedDomains.size === 0) return undefined;
  return keepOpen('a rack or a data centre is suspected lost');
};

/** The loss of a rack beside maintenance in another one would take tasks of the step in both. */
const keepToOneRack: Rule = ({ lasting, rack }, { racksOfOthers }) => {
  if (rack === '') return undefined;
  const shared = Array.from(lasting).find((step) =>
    Array.from(racksOfOthers.get(step) ?? []).some((other) => other !== rack),
  );
  return shared && keepOpen(`another wave has hosts of job ${shared.job.job.jobId} down elsewhere`);
};

const limitClosing: Rule = (_candidate, { wave, closingCount }) => {
  const isFull = closingCount >= wave.order.maximum + CLOSING_AHEAD;
  return isFull ? keepOpen('as many hosts as may go are before it') : undefined;
};

/** More tasks of one step stand here than may be missed: the host never goes with all of them. */
const isOvercrowded = ({ runs }: EndpointState, { step }: BudgetObstacle): boolean => {
  const staying = Array.from(runs.values()).filter(
    (run) => run.step === step && run.phase !== 'stopping',
  );
  return staying.length > step.spec.mayMiss;
};

const keepWithinBudgets: Rule = ({ endpoint }, { world }) => {
  if (!endpoint) return undefined;
  const obstacle = findBudgetObstacle(world.state, endpoint);
  if (!obstacle) return undefined;
  const { reason } = obstacle;
  if (!isOvercrowded(endpoint, obstacle)) return keepOpen(reason);
  return { kind: 'spread', endpoint, obstacle, reason };
};

/** Hosts that each fit a step's budget may break it together. */
const keepWithinClaims: Rule = ({ endpoint }, { world, claimed }) => {
  const obstacle = endpoint && findBudgetObstacle(world.state, endpoint, claimed);
  return obstacle && keepOpen(`job ${obstacle.step.job.job.jobId} gives another host first`);
};

const keepWithinMaximum: Rule = (_candidate, { wave, ordered, freePlaces }) => {
  if (ordered.length < freePlaces) return undefined;
  return drain(`${wave.order.maximum} hosts are down, which is the maximum`);
};

const awaitFirstAnswer: Rule = ({ hostId, endpoint }, { world }) => {
  const instanceId = world.inventory.hosts.get(hostId)?.instanceId ?? null;
  // What an endpoint runs is known once it has answered this holder.
  const isUnknown = instanceId !== null && !endpoint?.isKnown;
  return isUnknown ? drain('its endpoint has not answered yet') : undefined;
};

const awaitShortTasks: Rule = ({ host, endpoint }, { nowMs }) => {
  if (!endpoint || isQuiet(endpoint)) return undefined;
  const drainingSinceMs = host.phase === 'waiting' ? nowMs : host.sinceMs;
  if (nowMs - drainingSinceMs > DRAIN_PATIENCE_MS) return undefined;
  return drain(`${endpoint.runs.size} tasks are to end first`);
};

/** In the order in which they are asked: budgets go before what only delays a host. */
const rules: readonly Rule[] = [
  waitWhileRelaxed,
  awaitSuspectedDomains,
  keepToOneRack,
  limitClosing,
  keepWithinBudgets,
  keepWithinClaims,
  keepWithinMaximum,
  awaitFirstAnswer,
  awaitShortTasks,
];

/**
 * Decides what is done about a host. Nothing is changed.
 *
 * @param candidate - The host.
 * @param round - The pass so far.
 * @returns The decision with its reason.
 */
export const decideOnHost = (candidate: Candidate, round: UpkeepRound): HostDecision => {
  const decision = rules.reduce<HostDecision | undefined>(
    (decided, rule) => decided ?? rule(candidate, round),
    undefined,
  );
  return decision ?? { kind: 'order-down', reason: '' };
};
