/**
 * The choice of a host for one job: ruled out by pool, phase, selector and room, in that order,
 * then ranked by spread over data centres, racks and hosts, then the fullest first.
 */
import { firstUnmet, requirementText } from '../selectors/selector.js';
import { builtInLabel } from '../fleet/fleet.js';
import type { HostId } from '../shared/ids.js';
import type { PlaceableJob, PlacementHost } from './placeable.js';

/** How many hosts each reason ruled out. */
export type RuledOut = Readonly<Record<string, number>>;

/** A chosen host, with the reason in terms of the operator's labels and selectors. */
export type ChosenHost = {
  readonly kind: 'chosen';
  readonly hostId: HostId;
  readonly reason: string;
};

/** Why no host was chosen. */
export type NoHost = {
  readonly kind: 'none';
  /** True if no host could take the job even if all of them were idle. */
  readonly never: boolean;
  readonly ruledOut: RuledOut;
  readonly reason: string;
};

/** The outcome of a choice. Thousands may fail in one turn, so a failure costs no stack trace. */
export type HostChoice = ChosenHost | NoHost;

/** Counts of the executors of one service by place. */
type Spread = {
  readonly byDataCentre: ReadonlyMap<string, number>;
  readonly byRack: ReadonlyMap<string, number>;
};

type Candidate = { readonly host: PlacementHost; readonly rank: readonly number[] };

const lacksSize = (job: PlaceableJob, { spec }: PlacementHost): string | undefined => {
  if (spec.cores < job.cores) return `has fewer than ${job.cores} cores`;
  if (spec.memoryMb < job.memoryMb) return `has less than ${job.memoryMb} MB`;
  if (spec.accelerators < job.accelerators) {
    return `has fewer than ${job.accelerators} accelerators`;
  }
  return undefined;
};

/** What rules a host out for good, whatever runs on it now. */
const lastingObstacle = (job: PlaceableJob, host: PlacementHost): string | undefined => {
  if (host.row.pool !== job.pool) return `pool is not ${job.pool}`;
  if (job.selector.requirements.length > 0) {
    const { labels } = host.spec;
    const unmet = firstUnmet(job.selector, (key) =>
      key === builtInLabel.pool ? host.row.pool : labels[key],
    );
    if (unmet) return `selector ${requirementText(unmet)} not met`;
  }
  return lacksSize(job, host);
};

/** What rules a host out only now. */
const passingObstacle = (job: PlaceableJob, { spec, row, isLive, used }: PlacementHost) => {
  if (!isLive) return 'host is gone';
  if (row.phase !== 'assigned') return `host is ${row.phase}`;
  if (spec.cores - used.cores < job.cores) return `fewer than ${job.cores} cores free`;
  if (spec.memoryMb - used.memoryMb < job.memoryMb) return `less than ${job.memoryMb} MB free`;
  if (spec.accelerators - used.accelerators < job.accelerators) {
    return `fewer than ${job.accelerators} accelerators free`;
  }
  return undefined;
};

const add = (counts: Map<string, number>, key: string, more: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + more);
};

const spreadOf = (job: PlaceableJob, hosts: readonly PlacementHost[]): Spread => {
  const byDataCentre = new Map<string, number>();
  const byRack = new Map<string, number>();
  const { service } = job;
  if (service === null) return { byDataCentre, byRack };
  hosts.forEach(({ spec, executors }) => {
    const standing = executors.get(service) ?? 0;
    if (standing === 0) return;
    add(byDataCentre, spec.dataCentre, standing);
    add(byRack, spec.rack, standing);
  });
  return { byDataCentre, byRack };
};

const rankOf = (job: PlaceableJob, host: PlacementHost, spread: Spread): readonly number[] => [
  job.avoid.includes(host.spec.hostId) ? 1 : 0,
  spread.byDataCentre.get(host.spec.dataCentre) ?? 0,
  spread.byRack.get(host.spec.rack) ?? 0,
  job.service === null ? 0 : (host.executors.get(job.service) ?? 0),
  // The fullest host that fits: hosts that stay empty are maintained without moving anything.
  -host.used.cores / host.spec.cores,
];

const isBefore = (a: Candidate, b: Candidate): boolean => {
  const differing = a.rank.findIndex((value, index) => value !== b.rank[index]);
  if (differing < 0) return a.host.spec.hostId < b.host.spec.hostId;
  return (a.rank[differing] as number) < (b.rank[differing] as number);
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

const explainNone = (job: PlaceableJob, ruledOut: RuledOut, never: boolean): string => {
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
 * @param hosts - All hosts that may come into question, as they are now.
 * @returns The host with the reason, or the counts of what ruled the hosts out.
 */
export const chooseHost = (job: PlaceableJob, hosts: readonly PlacementHost[]): HostChoice => {
  const ruledOut = new Map<string, number>();
  const spread = spreadOf(job, hosts);
  let fitting = 0;
  let candidates = 0;
  let best: Candidate | undefined;
  hosts.forEach((host) => {
    const lasting = lastingObstacle(job, host);
    if (lasting === undefined) fitting += 1;
    const obstacle = lasting ?? passingObstacle(job, host);
    if (obstacle !== undefined) {
      add(ruledOut, obstacle, 1);
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
  const never = fitting === 0;
  return { kind: 'none', never, ruledOut: counts, reason: explainNone(job, counts, never) };
};
