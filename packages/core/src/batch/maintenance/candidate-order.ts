/** Determines the order in which the hosts of a maintenance wave are considered. */
import * as B from 'fp-ts/lib/boolean.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { Candidate, PlanningPass } from './host-rules.js';
import { latestStartOf } from './wave-plan.js';

/** A host with its sort keys, computed once per sort. */
type RankedHost = {
  readonly candidate: Candidate;
  readonly isEvacuated: boolean;
  readonly isDraining: boolean;
  /** True if the deadline of one of its long-running steps to start draining has passed. */
  readonly isOverdue: boolean;
  /** Number of hosts in its rack that have started draining or gone further. */
  readonly startedInRack: number;
  /** Estimated cost of losing the host; 0 for spare and empty hosts. */
  readonly lossCost: number;
};

/** Estimates the cost of losing a host: its long-running tasks plus its CPU usage. 0 for spare and empty hosts. */
const estimateLossCost = ({ endpoint }: Candidate): number => {
  if (!endpoint || endpoint.runs.size === 0) return 0;
  const { used, capacity, runs } = endpoint;
  const longRunning = Array.from(runs.values()).filter(({ step }) => step.spec.isLasting).length;
  return 1 + longRunning + used.cpuMillis / Math.max(1, capacity.cpuMillis);
};

const trueFirst = Ord.reverse(B.Ord);
const mostFirst = Ord.reverse(N.Ord);

const sortOrder: readonly Ord.Ord<RankedHost>[] = [
  pipe(
    trueFirst,
    Ord.contramap(({ isEvacuated }: RankedHost) => isEvacuated),
  ),
  pipe(
    trueFirst,
    Ord.contramap(({ isDraining }: RankedHost) => isDraining),
  ),
  // Hosts with tasks of the same long-running step go one after the other. Hosts that are limited only by the
  // maximum can go in parallel with them.
  pipe(
    trueFirst,
    Ord.contramap(({ isOverdue }: RankedHost) => isOverdue),
  ),
  // Finish a rack that has started before starting the next one.
  pipe(
    mostFirst,
    Ord.contramap(({ startedInRack }: RankedHost) => startedInRack),
  ),
  pipe(
    N.Ord,
    Ord.contramap(({ lossCost }: RankedHost) => lossCost),
  ),
];

/**
 * Sorts the hosts of a wave by the order in which they should go down.
 *
 * @param candidates - The hosts.
 * @param pass - The planning pass, with the wave's plan.
 * @param startedByRack - Number of hosts per rack that have started.
 * @returns Hosts of evacuated data centres first, then draining hosts, then hosts whose long-running steps make them
 *   urgent, then by the number of started hosts in their rack (most first) and by the cost of losing them (lowest first).
 */
export const sortCandidates = (
  candidates: readonly Candidate[],
  { plan, nowMs }: PlanningPass,
  startedByRack: ReadonlyMap<string, number>,
): readonly Candidate[] =>
  pipe(
    candidates,
    RA.map((candidate): RankedHost => ({
      candidate,
      isEvacuated: candidate.isEvacuated,
      isDraining: candidate.host.phase === 'closing',
      isOverdue: candidate.longRunningSteps.size > 0 && nowMs >= latestStartOf(plan, candidate),
      startedInRack: startedByRack.get(candidate.rack) ?? 0,
      lossCost: estimateLossCost(candidate),
    })),
    RA.sortBy(sortOrder),
    RA.map(({ candidate }) => candidate),
  );
