/** What operators are told of failure domains: what stands in each, and what its loss would take. */
import {
  domainName,
  domainsOf,
  isSuspected,
  namedDomains,
  rackOf,
  type BatchState,
  type DomainKind,
  type EndpointState,
  type ListedHost,
  type StepRun,
} from '@valvelatch/core/batch';
import type { DomainId } from '@valvelatch/core/shared/ids';

const MILLIS = 1000;
/** A list for people; a fleet has more racks than anybody reads. */
const MOST_DOMAINS = 1000;
const KIND_WORDS: Readonly<Record<DomainKind, string>> = {
  rack: 'rack',
  dataCentre: 'data centre',
};

/** What the views are made of. */
export type DomainSight = {
  readonly state: BatchState;
  readonly hosts: Iterable<ListedHost>;
  readonly nowMs: number;
};

type DomainView = {
  readonly domainId: DomainId;
  readonly kind: DomainKind;
  readonly hosts: ListedHost[];
  readonly endpoints: readonly EndpointState[];
};

/** All domains that a host or an endpoint stands in, data centres first, by name. */
const viewsOf = ({ state, hosts }: DomainSight): readonly DomainView[] => {
  const views = new Map<DomainId, DomainView>();
  const viewOf = ({ domainId, kind }: Pick<DomainView, 'domainId' | 'kind'>): DomainView => {
    const known = views.get(domainId);
    if (known) return known;
    const endpoints = Array.from(state.domains.get(domainId)?.members ?? []);
    const built = { domainId, kind, hosts: [], endpoints };
    views.set(domainId, built);
    return built;
  };
  state.domains.forEach(viewOf);
  Array.from(hosts).forEach((host) =>
    namedDomains(domainsOf(host.dataCentre, rackOf(host))).forEach((domain) =>
      viewOf(domain).hosts.push(host),
    ),
  );
  return Array.from(views.values()).sort((left, right) =>
    left.domainId.localeCompare(right.domainId, 'en', { numeric: true }),
  );
};

const countBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string) => {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return counts;
};

const runsOf = (endpoints: readonly EndpointState[]) =>
  endpoints.flatMap(({ runs }) => Array.from(runs.values()));

const suspicionOf = ({ state, nowMs }: DomainSight, domainId: DomainId): string => {
  const suspected = state.suspectedDomains.get(domainId);
  if (!suspected) return '';
  const { unansweringEndpoints, endpointCount, sinceMs } = suspected;
  return `suspected for ${Math.round(nowMs - sinceMs)} ms: ${unansweringEndpoints.size} of ${endpointCount} endpoints have not answered since`;
};

/**
 * Lists the racks and data centres.
 *
 * @param sight - What the holder knows, and the hosts by the platform's list.
 * @returns A row for each: its hosts by pool, its runs, and whether it is suspected.
 */
export const domainRows = (sight: DomainSight): readonly object[] =>
  viewsOf(sight)
    .slice(0, MOST_DOMAINS)
    .map(({ domainId, kind, hosts, endpoints }) => ({
      domain: domainName(domainId),
      kind: KIND_WORDS[kind],
      hosts: hosts.length,
      pools: Array.from(
        countBy(hosts, ({ pool }) => pool),
        ([pool, count]) => `${pool} ${count}`,
      ).join(', '),
      runs: runsOf(endpoints).length,
      phase: sight.state.suspectedDomains.has(domainId) ? 'suspected' : 'up',
      reason: suspicionOf(sight, domainId),
    }));

type Reason = { readonly of: string; readonly reason: string };

const cores = (endpoints: readonly EndpointState[], of: 'capacity' | 'used'): number =>
  endpoints.reduce((sum, endpoint) => sum + endpoint[of].cpuMillis, 0) / MILLIS;

const poolReasons = (endpoints: readonly EndpointState[]): readonly Reason[] =>
  Array.from(new Set(endpoints.map(({ pool }) => pool)), (pool) => {
    const inPool = endpoints.filter((endpoint) => endpoint.pool === pool);
    return {
      of: `pool ${pool}`,
      reason: `its loss takes ${cores(inPool, 'capacity')} cores on ${inPool.length} endpoints, ${cores(inPool, 'used')} of them in use`,
    };
  });

const lastingReasons = (endpoints: readonly EndpointState[]): readonly Reason[] => {
  const counts = new Map<StepRun, number>();
  runsOf(endpoints)
    .filter(({ step }) => step.spec.isLasting)
    .forEach(({ step }) => counts.set(step, (counts.get(step) ?? 0) + 1));
  return Array.from(counts, ([{ spec, job, number }, count]) => ({
    of: `job ${job.job.jobId} step ${number}`,
    reason: `its loss takes ${count} of ${spec.taskCount} long-running tasks, ${
      spec.mayMiss > 0 ? `${spec.mayMiss} may be missed` : 'without a bound on what may be missed'
    }`,
  }));
};

/**
 * Explains what the loss of a rack or a data centre would take now.
 *
 * @param sight - What the holder knows, and the hosts by the platform's list.
 * @param name - `DATA-CENTRE` or `DATA-CENTRE/RACK`; the label of a rack alone if no other data centre has one of it.
 * @returns The explanation; undefined for a name that nothing or more than one domain has.
 */
export const explainDomain = (sight: DomainSight, name: string): object | undefined => {
  const views = viewsOf(sight);
  const exact = views.find(({ domainId }) => domainName(domainId) === name);
  const labelled = views.filter(
    ({ domainId, kind }) => kind === 'rack' && domainName(domainId).endsWith(`/${name}`),
  );
  const found = exact ?? (labelled.length === 1 ? labelled[0] : undefined);
  if (!found) return undefined;
  const { domainId, kind, hosts, endpoints } = found;
  const suspicion = suspicionOf(sight, domainId);
  return {
    outcome: `${KIND_WORDS[kind]} ${domainName(domainId)}: ${hosts.length} hosts, ${runsOf(endpoints).length} runs`,
    reason: suspicion === '' ? 'it is not suspected' : suspicion,
    reasons: [...poolReasons(endpoints), ...lastingReasons(endpoints)],
  };
};

/** A data centre with how many of its endpoints get no new work as it, or a rack of it, is suspected. */
export type SuspectCount = { readonly dataCentre: string; readonly suspected: number };

/**
 * Counts the endpoints that are suspected by data centre.
 *
 * @param state - All that is known.
 * @returns The counts, also those that are 0.
 */
export const countSuspects = (state: BatchState): readonly SuspectCount[] =>
  Array.from(state.domains.values())
    .filter(({ kind }) => kind === 'dataCentre')
    .map(({ domainId, members }) => ({
      dataCentre: domainName(domainId),
      suspected: Array.from(members).filter((endpoint) => isSuspected(state, endpoint)).length,
    }));
