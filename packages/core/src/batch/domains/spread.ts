/** How the tasks of a step are spread over failure domains, and what the loss of one would take. */
import { domainName } from './domains.js';
import type { BatchState, DomainKind, StepRun } from '../model/state.js';
import type { DomainId } from '../../shared/ids.js';

/** The domain of one kind in which most tasks of a step stand. */
export type LargestShare = {
  readonly domainId: DomainId;
  readonly tasks: number;
  /** In how many domains of the kind the step has tasks. */
  readonly domains: number;
};

/**
 * Finds the domain whose loss would take most tasks of a step.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @param kind - Racks or data centres.
 * @returns The domain; undefined if no task stands in a domain of the kind.
 */
export const largestShare = (
  state: BatchState,
  { perDomain }: StepRun,
  kind: DomainKind,
): LargestShare | undefined => {
  const shares = Array.from(perDomain).filter(([id]) => state.domains.get(id)?.kind === kind);
  return shares.reduce<LargestShare | undefined>(
    (largest, [domainId, tasks]) =>
      largest && largest.tasks >= tasks ? largest : { domainId, tasks, domains: shares.length },
    undefined,
  );
};

const KIND_WORDS: Readonly<Record<DomainKind, string>> = {
  rack: 'racks',
  dataCentre: 'data centres',
};

/** How many domains of a kind have endpoints in the pool of a step. */
const domainsOfPool = (
  { domains }: BatchState,
  { job: { job } }: StepRun,
  kind: DomainKind,
): number =>
  Array.from(domains.values()).filter(
    (one) => one.kind === kind && Array.from(one.members).some(({ pool }) => pool === job.pool),
  ).length;

const describeKind = (state: BatchState, step: StepRun, kind: DomainKind): readonly string[] => {
  const largest = largestShare(state, step, kind);
  if (!largest) return [];
  const { mayMiss, taskCount } = step.spec;
  const { domainId, tasks, domains } = largest;
  const shown = `over ${domains} ${KIND_WORDS[kind]}, at most ${tasks} in one (${domainName(domainId)})`;
  if (mayMiss === 0 || tasks <= mayMiss) return [shown];
  const excess = `${shown}, and ${mayMiss} may be missed`;
  const available = domainsOfPool(state, step, kind);
  const isPossible = available * mayMiss >= taskCount;
  return [isPossible ? excess : `${excess}: ${available} ${KIND_WORDS[kind]} are too few for that`];
};

/**
 * Describes how a long-running step is spread, for operators.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @returns The spread over racks and data centres, and whether the loss of one takes more than the step may miss; ''
 * for a step that is not long-running, or that stands in no domain.
 */
export const describeSpread = (state: BatchState, step: StepRun): string =>
  step.spec.isLasting
    ? (['rack', 'dataCentre'] as const)
        .flatMap((kind) => describeKind(state, step, kind))
        .join('; ')
    : '';
