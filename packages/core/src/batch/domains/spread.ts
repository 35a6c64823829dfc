/** How the tasks of a step are spread over failure domains, and how many tasks the loss of one would stop. */
import { domainName } from './domains.js';
import type { BatchState, DomainKind, StepRun } from '../model/state.js';
import type { DomainId } from '../../shared/ids.js';

/** The domain of one kind that has the most tasks of a step. */
export type LargestDomain = {
  readonly domainId: DomainId;
  readonly tasks: number;
  /** The number of domains of the kind in which the step has tasks. */
  readonly domains: number;
};

/**
 * Finds the domain whose loss would stop the most tasks of a step.
 *
 * @param state - The batch state.
 * @param step - The step.
 * @param kind - Racks or data centres.
 * @returns The domain, the first one of equals; undefined if the step has no task in a domain of the kind.
 */
export const findLargestDomain = (
  state: BatchState,
  { perDomain }: StepRun,
  kind: DomainKind,
): LargestDomain | undefined => {
  const shares = Array.from(perDomain).filter(([id]) => state.domains.get(id)?.kind === kind);
  return shares.reduce<LargestDomain | undefined>(
    (largest, [domainId, tasks]) =>
      largest && largest.tasks >= tasks ? largest : { domainId, tasks, domains: shares.length },
    undefined,
  );
};

const KIND_LABELS: Readonly<Record<DomainKind, string>> = {
  rack: 'racks',
  dataCentre: 'data centres',
};

/** Counts the domains of a kind that have endpoints in the pool of a step. */
const countDomainsOfPool = (
  { domains }: BatchState,
  { job: { job } }: StepRun,
  kind: DomainKind,
): number =>
  Array.from(domains.values()).filter(
    (one) => one.kind === kind && Array.from(one.members).some(({ pool }) => pool === job.pool),
  ).length;

const describeKind = (state: BatchState, step: StepRun, kind: DomainKind): readonly string[] => {
  const largest = findLargestDomain(state, step, kind);
  if (!largest) return [];
  const { mayMiss, taskCount } = step.spec;
  const { domainId, tasks, domains } = largest;
  const summary = `over ${domains} ${KIND_LABELS[kind]}, at most ${tasks} in one (${domainName(domainId)})`;
  if (mayMiss === 0 || tasks <= mayMiss) return [summary];
  const excess = `${summary}, and ${mayMiss} may be missed`;
  const available = countDomainsOfPool(state, step, kind);
  const isPossible = available * mayMiss >= taskCount;
  return [
    isPossible ? excess : `${excess}: ${available} ${KIND_LABELS[kind]} are too few for that`,
  ];
};

/**
 * Describes to operators how a long-running step is spread.
 *
 * @param state - The batch state.
 * @param step - The step.
 * @returns The spread over racks and data centres, and whether the loss of one would exceed the step's `mayMiss`; ''
 * for a step that is not long-running, or that has no task in any domain.
 */
export const describeSpread = (state: BatchState, step: StepRun): string =>
  step.spec.isLasting
    ? (['rack', 'dataCentre'] as const)
        .flatMap((kind) => describeKind(state, step, kind))
        .join('; ')
    : '';
