/**
 * Chooses a host for one job. Hosts are filtered by pool, selector, size, phase and free resources;
 * the remaining ones are ranked by spread over data centres, racks and hosts, then by cores in use,
 * fullest first.
 */
import { findUnmetRequirement, formatRequirement } from '../selectors/selector.js';
import { builtInLabel } from '../fleet/fleet.js';
import type { HostId } from '../shared/ids.js';
import type { PlaceableJob, PlacementHost } from './placement-input.js';

/** The number of hosts that were ruled out, by reason. */
export type ExclusionCounts = Readonly<Record<string, number>>;

/** A chosen host, with the reason in terms of the operator's labels and selectors. */
export type ChosenHost = {
  readonly kind: 'chosen';
  readonly hostId: HostId;
  readonly reason: string;
};

/** No host was chosen; says why. */
export type NoHost = {
  readonly kind: 'none';
  /** True if no host could run the job even if all hosts were idle. */
  readonly isPermanent: boolean;
  readonly exclusionCounts: ExclusionCounts;
  readonly reason: string;
};

/**
 * The result of a choice. Thousands of jobs may find no host in one control turn, so this is
 * reported as a value, without the cost of a stack trace.
 */
export type HostChoice = ChosenHost | NoHost;

/** The number of executors of one service by data centre and by rack. */
type Spread = {
  readonly byDataCentre: ReadonlyMap<string, number>;
  readonly byRack: ReadonlyMap<string, number>;
};

/** A host that can run the job. Ranks are compared element by element; the lowest one wins. */
type Candidate = { readonly host: PlacementHost; readonly rank: readonly number[] };

const sizeObstacle = (job: PlaceableJob, { spec }: PlacementHost): string | undefined => {
  if (spec.cores < job.cores) return `has fewer than ${job.cores} cores`;
  if (spec.memoryMb < job.memoryMb) return `has less than ${job.memoryMb} MB`;
  if (spec.accelerators < job.accelerators) {
    return `has fewer than ${job.accelerators} accelerators`;
  }
  return undefined;
};

/** Returns why a host can never run the job, whatever runs on it now, or undefined if it can. */
const permanentObstacle = (job: PlaceableJob, host: PlacementHost): string | undefined => {
  if (host.row.pool !== job.pool) return `pool is not ${job.pool}`;
  if (job.selector.requirements.length > 0) {
    const { labels } = host.spec;
    const unmet = findUnmetRequirement(job.selector, (key) =>
      key === builtInLabel.pool ? host.row.pool : labels[key],
    );
    if (unmet) return `selector ${formatRequirement(unmet)} not met`;
  }
  return sizeObstacle(job, host);
};

/** Returns why a host cannot run the job at present, or undefined if it can. */
const temporaryObstacle = (job: PlaceableJob, { spec, row, isLive, used }: PlacementHost) => {
  if (!isLive) return 'host is gone';
  if (row.phase !== 'assigned') return `host is ${row.phase}`;
  if (spec.cores - used.cores < job.cores) return `fewer than ${job.cores} cores free`;
  if (spec.memoryMb - used.memoryMb < job.memoryMb) return `less than ${job.memoryMb} MB free`;
  if (spec.accelerators - used.accelerators < job.accelerators) {
    return `fewer than ${job.accelerators} accelerators free`;
  }
  return undefined;
};

const increaseCount = (counts: Map<string, number>, key: string, increment: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + increment);
};

const spreadOf = (job: PlaceableJob, hosts: readonly PlacementHost[]): Spread => {
  const byDataCentre = new Map<string, number>();
  const byRack = new Map<string, number>();
  const { service } = job;
  if (service === null) return { byDataCentre, byRack };
  hosts.forEach(({ spec, executorCounts }) => {
    const executorCount = executorCounts.get(service) ?? 0;
    if (executorCount === 0) return;
    increaseCount(byDataCentre, spec.dataCentre, executorCount);
    increaseCount(byRack, spec.rack, executorCount);
  });
  return { byDataCentre, byRack };
};

const rankOf = (job: PlaceableJob, host: PlacementHost, spread: Spread): readonly number[] => [
  job.avoidedHosts.includes(host.spec.hostId) ? 1 : 0,
  spread.byDataCentre.get(host.spec.dataCentre) ?? 0,
  spread.byRack.get(host.spec.rack) ?? 0,
  job.service === null ? 0 : (host.executorCounts.get(job.service) ?? 0),
  // Prefers the fullest host that fits, because hosts that stay empty can be maintained without
  // moving any task.
  -host.used.cores / host.spec.cores,
];

const isBefore = (a: Candidate, b: Candidate): boolean => {
  const firstDifference = a.rank.findIndex((value, index) => value !== b.rank[index]);
  if (firstDifference < 0) return a.host.spec.hostId < b.host.spec.hostId;
  return (a.rank[firstDifference] as number) < (b.rank[firstDifference] as number);
};

const reasonFor = (job: PlaceableJob, { host, rank }: Candidate, candidates: number): string => {
  const selector = job.selector.text === '' ? 'no selector' : `selector '${job.selector.text}' met`;
  const free = host.spec.cores - host.used.cores;
  const spread =
    job.service === null
      ? ''
      : `; ${rank[1]} of ${job.service} in data-centre=${host.spec.dataCentre}, ` +
        `${rank[2]} in rack=${host.spec.rack} before`;
  return (
    `best of ${candidates} hosts of pool=${job.pool}; ${selector}` +
    `${spread}; ${free} of ${host.spec.cores} cores free`
  );
};

const explainNoHost = (job: PlaceableJob, ruledOut: ExclusionCounts, never: boolean): string => {
  const counts = Object.entries(ruledOut)
    .map(([reason, hosts]) => `${hosts} hosts: ${reason}`)
    .join('; ');
  const start = never ? 'no declared host can ever take it' : 'no host can take it now';
  return `${start} (${counts || `no hosts for pool=${job.pool}`})`;
};

/**
 * Chooses the host for a job.
 *
 * @param job - The job.
 * @param hosts - All hosts to consider, in their present state.
 * @returns The host with the reason, or the number of hosts ruled out by each reason.
 */
export const chooseHost = (job: PlaceableJob, hosts: readonly PlacementHost[]): HostChoice => {
  const ruledOut = new Map<string, number>();
  const spread = spreadOf(job, hosts);
  let possibleHosts = 0;
  let candidates = 0;
  let best: Candidate | undefined;
  hosts.forEach((host) => {
    const permanent = permanentObstacle(job, host);
    if (permanent === undefined) possibleHosts += 1;
    const obstacle = permanent ?? temporaryObstacle(job, host);
    if (obstacle !== undefined) {
      increaseCount(ruledOut, obstacle, 1);
      return;
    }
    candidates += 1;
    const candidate = { host, rank: rankOf(job, host, spread) };
    if (!best || isBefore(candidate, best)) best = candidate;
  });
  if (best) {
    const { hostId } = best.host.spec;
    return { kind: 'chosen', hostId, reason: reasonFor(job, best, candidates) };
  }
  const counts = Object.fromEntries(ruledOut);
  const isPermanent = possibleHosts === 0;
  return {
    kind: 'none',
    isPermanent,
    exclusionCounts: counts,
    reason: explainNoHost(job, counts, isPermanent),
  };
};
