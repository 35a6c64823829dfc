/**
 * The operators' views of failure domains (racks and data centres): what each contains, and what its loss would affect.
 */
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

const MILLIS_PER_CORE = 1000;
/** Maximum number of domains in the list, which is read by people: a fleet may have many more racks. */
const MAX_ROWS = 1000;
const KIND_LABELS: Readonly<Record<DomainKind, string>> = {
  rack: 'rack',
  dataCentre: 'data centre',
};

/** The data from which the views are built. */
export type DomainViewSource = {
  readonly state: BatchState;
  readonly hosts: Iterable<ListedHost>;
  /** The current time by the monotonic clock. */
  readonly nowMs: number;
};

type DomainView = {
  readonly domainId: DomainId;
  readonly kind: DomainKind;
  readonly hosts: ListedHost[];
  readonly endpoints: readonly EndpointState[];
};

/**
 * Builds a view of each domain that contains a host or an endpoint, sorted by domain id: data centres first, then by
 * name.
 */
const buildDomainViews = ({ state, hosts }: DomainViewSource): readonly DomainView[] => {
  const views = new Map<DomainId, DomainView>();
  const findOrAddView = ({ domainId, kind }: Pick<DomainView, 'domainId' | 'kind'>): DomainView => {
    const known = views.get(domainId);
    if (known) return known;
    const endpoints = Array.from(state.domains.get(domainId)?.members ?? []);
    const built = { domainId, kind, hosts: [], endpoints };
    views.set(domainId, built);
    return built;
  };
  state.domains.forEach(findOrAddView);
  Array.from(hosts).forEach((host) =>
    namedDomains(domainsOf(host.dataCentre, rackOf(host))).forEach((domain) =>
      findOrAddView(domain).hosts.push(host),
    ),
  );
  return Array.from(views.values()).sort((left, right) =>
    left.domainId.localeCompare(right.domainId, 'en', { numeric: true }),
  );
};

const countByKey = <Item>(items: readonly Item[], keyOf: (item: Item) => string) => {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return counts;
};

const runsOf = (endpoints: readonly EndpointState[]) =>
  endpoints.flatMap(({ runs }) => Array.from(runs.values()));

/** Describes for how long and by how many endpoints a domain has been suspected; '' if it is not. */
const describeSuspicion = ({ state, nowMs }: DomainViewSource, domainId: DomainId): string => {
  const suspected = state.suspectedDomains.get(domainId);
  if (!suspected) return '';
  const { unansweringEndpoints, endpointCount, sinceMs } = suspected;
  return `suspected for ${Math.round(nowMs - sinceMs)} ms: ${unansweringEndpoints.size} of ${endpointCount} endpoints have not answered since`;
};

/**
 * Lists the racks and data centres.
 *
 * @param source - The scheduler's state, and the hosts in the platform's list.
 * @returns A row for each: its hosts by pool, its runs, and whether it is suspected to be lost.
 */
export const listDomainRows = (source: DomainViewSource): readonly object[] =>
  buildDomainViews(source)
    .slice(0, MAX_ROWS)
    .map(({ domainId, kind, hosts, endpoints }) => ({
      domain: domainName(domainId),
      kind: KIND_LABELS[kind],
      hosts: hosts.length,
      pools: Array.from(
        countByKey(hosts, ({ pool }) => pool),
        ([pool, count]) => `${pool} ${count}`,
      ).join(', '),
      runs: runsOf(endpoints).length,
      phase: source.state.suspectedDomains.has(domainId) ? 'suspected' : 'up',
      reason: describeSuspicion(source, domainId),
    }));

type Reason = { readonly of: string; readonly reason: string };

const sumCores = (endpoints: readonly EndpointState[], resource: 'capacity' | 'used'): number =>
  endpoints.reduce((sum, endpoint) => sum + endpoint[resource].cpuMillis, 0) / MILLIS_PER_CORE;

const poolReasons = (endpoints: readonly EndpointState[]): readonly Reason[] =>
  Array.from(new Set(endpoints.map(({ pool }) => pool)), (pool) => {
    const inPool = endpoints.filter((endpoint) => endpoint.pool === pool);
    return {
      of: `pool ${pool}`,
      reason: `its loss takes ${sumCores(inPool, 'capacity')} cores on ${inPool.length} endpoints, ${sumCores(inPool, 'used')} of them in use`,
    };
  });

const longRunningReasons = (endpoints: readonly EndpointState[]): readonly Reason[] => {
  const counts = new Map<StepRun, number>();
  runsOf(endpoints)
    .filter(({ step }) => step.spec.isLasting)
    .forEach(({ step }) => counts.set(step, (counts.get(step) ?? 0) + 1));
  return Array.from(counts, ([{ spec, job, number }, count]) => ({
    of: `job ${job.job.jobId} step ${number}`,
    reason: `its loss takes ${count} of ${spec.taskCount} long-running tasks, ${
      spec.mayMiss > 0 ? `${spec.mayMiss} may be missed` : 'with no limit on how many may be missed'
    }`,
  }));
};

/**
 * Explains what the loss of a rack or a data centre would affect now.
 *
 * @param source - The scheduler's state, and the hosts in the platform's list.
 * @param name - `DATA-CENTRE`, `DATA-CENTRE/RACK`, or just the label of a rack if only one data centre has a rack with
 * that label.
 * @returns The explanation; undefined if no domain or more than one has the name.
 */
export const explainDomain = (source: DomainViewSource, name: string): object | undefined => {
  const views = buildDomainViews(source);
  const byFullName = views.find(({ domainId }) => domainName(domainId) === name);
  const byRackLabel = views.filter(
    ({ domainId, kind }) => kind === 'rack' && domainName(domainId).endsWith(`/${name}`),
  );
  const found = byFullName ?? (byRackLabel.length === 1 ? byRackLabel[0] : undefined);
  if (!found) return undefined;
  const { domainId, kind, hosts, endpoints } = found;
  const suspicion = describeSuspicion(source, domainId);
  return {
    outcome: `${KIND_LABELS[kind]} ${domainName(domainId)}: ${hosts.length} hosts, ${runsOf(endpoints).length} runs`,
    reason: suspicion === '' ? 'it is not suspected' : suspicion,
    reasons: [...poolReasons(endpoints), ...longRunningReasons(endpoints)],
  };
};

/** A data centre, and how many of its endpoints get no new work because it or their rack is suspected to be lost. */
export type SuspectedEndpointCount = { readonly dataCentre: string; readonly suspected: number };

/**
 * Counts, for each data centre, the endpoints that are suspected to be lost.
 *
 * @param state - The scheduler's state.
 * @returns The count for each data centre, including counts of 0.
 */
export const countSuspectedEndpoints = (state: BatchState): readonly SuspectedEndpointCount[] =>
  Array.from(state.domains.values())
    .filter(({ kind }) => kind === 'dataCentre')
    .map(({ domainId, members }) => ({
      dataCentre: domainName(domainId),
      suspected: Array.from(members).filter((endpoint) => isSuspected(state, endpoint)).length,
    }));
