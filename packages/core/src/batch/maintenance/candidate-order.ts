/** In which order hosts of a maintenance wave are considered. */
import * as B from 'fp-ts/lib/boolean.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Candidate, UpkeepRound } from './upkeep-rules.js';
import { latestBeginMs } from './wave-plan.js';

/** A host with what decides its place, worked out once. */
type RankedHost = {
  readonly candidate: Candidate;
  readonly isEvacuated: boolean;
  readonly isClosing: boolean;
  /** It must begin now on account of a lasting step. */
  readonly isOverdue: boolean;
  /** How many hosts of its rack have begun. */
  readonly begunInRack: number;
  readonly weight: number;
};

/** How much a host's loss would cost; 0 for spare and empty hosts. */
const weightOf = ({ endpoint }: Candidate): number => {
  if (!endpoint || endpoint.runs.size === 0) return 0;
  const { used, capacity, runs } = endpoint;
  const lasting = Array.from(runs.values()).filter(({ step }) => step.spec.isLasting).length;
  return 1 + lasting + used.cpuMillis / Math.max(1, capacity.cpuMillis);
};

const trueFirst = Ord.reverse(B.Ord);
const mostFirst = Ord.reverse(N.Ord);

const byPlace: readonly Ord.Ord<RankedHost>[] = [
  pipe(
    trueFirst,
    Ord.contramap(({ isEvacuated }: RankedHost) => isEvacuated),
  ),
  pipe(
    trueFirst,
    Ord.contramap(({ isClosing }: RankedHost) => isClosing),
  ),
  // The hosts of a step go one after the other: others that only the maximum holds up can go beside them.
  pipe(
    trueFirst,
    Ord.contramap(({ isOverdue }: RankedHost) => isOverdue),
  ),
  // A rack that has begun goes on before the next one begins.
  pipe(
    mostFirst,
    Ord.contramap(({ begunInRack }: RankedHost) => begunInRack),
  ),
  pipe(
    N.Ord,
    Ord.contramap(({ weight }: RankedHost) => weight),
  ),
];

/**
 * Sorts hosts of a wave.
 *
 * @param candidates - The hosts.
 * @param round - The pass, with the wave's plan.
 * @param begun - How many hosts of each rack have begun.
 * @returns Those of evacuated data centres first, then those that drain, then those that a step makes urgent, then by rack and by what their loss costs.
 */
export const sortCandidates = (
  candidates: readonly Candidate[],
  { plan, nowMs }: UpkeepRound,
  begun: ReadonlyMap<string, number>,
): readonly Candidate[] =>
  pipe(
    candidates,
    RA.map((candidate): RankedHost => ({
      candidate,
      isEvacuated: candidate.isEvacuated,
      isClosing: candidate.host.phase === 'closing',
      isOverdue: candidate.lasting.size > 0 && nowMs >= latestBeginMs(plan, candidate),
      begunInRack: begun.get(candidate.rack) ?? 0,
      weight: weightOf(candidate),
    })),
    RA.sortBy(byPlace),
    RA.map(({ candidate }) => candidate),
  );
