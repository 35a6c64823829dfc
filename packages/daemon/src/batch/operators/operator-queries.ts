/**
 * Answers operators' queries about batch work. A query may be sent to any entry; the control holder answers it, using the
 * names that the operator gave to hosts, pools and queues. The answers have the shapes that the command line displays.
 */
import {
  describeSpread,
  evacuationsBlocking,
  hasAnswered,
  hasUnlistedEnds,
  isFinal,
  isSuspected,
  rackOf,
  type EndpointState,
  type JobState,
  type StepRun,
  type WaveForecast,
} from '@valvelatch/core/batch';
import type { HostId, JobId } from '@valvelatch/core/shared/ids';

import type { OperatorResult } from '../../operators/operator-result.js';
import { listAccountRows, describeWaitCause } from './account-views.js';
import { listDataCentreRows, explainDataCentre } from './data-centre-views.js';
import { explainRefusal, explainShortage } from '../jobs/job-admission.js';
import { listDomainRows, explainDomain, type DomainViewSource } from './domain-views.js';
import type { Control } from '../control/control.js';
import type { Term } from '../control/term-types.js';

type Body = { readonly kind?: string; readonly name?: string };
/** Builds the rows of one kind of list. */
type View = (term: Term) => readonly object[];

const MILLIS_PER_CORE = 1000;
/** Maximum number of jobs or placements in a list, which is read by people: a fleet may have many more. */
const MAX_ROWS = 1000;

/** Finds the current endpoint on a host; undefined if there is none. */
const findEndpointOn = (term: Term, hostId: HostId): EndpointState | undefined => {
  const instanceId = term.fleet.inventory().hosts.get(hostId)?.instanceId;
  return instanceId ? term.state.currentIncarnations.get(instanceId) : undefined;
};

const domainViewSource = ({ state, fleet }: Term): DomainViewSource => ({
  state,
  hosts: fleet.inventory().hosts.values(),
  nowMs: performance.now(),
});

/** Explains why a host gets no new work; if it may get some, tells how many tasks run on it. */
const describeHost = (term: Term, hostId: HostId): string => {
  const pendingMaintenance = term.fleet
    .waves()
    .map(({ request, hosts }) => ({ wave: request.waveNumber, host: hosts.get(hostId) }))
    .find(({ host }) => host && host.phase !== 'done');
  if (pendingMaintenance?.host) {
    const { phase, reason } = pendingMaintenance.host;
    return `wave ${pendingMaintenance.wave}: ${phase}${reason === '' ? '' : `, ${reason}`}`;
  }
  const endpoint = findEndpointOn(term, hostId);
  if (!endpoint) return 'no endpoint runs on it';
  if (!hasAnswered(endpoint)) return 'its endpoint has not answered this holder yet';
  if (hasUnlistedEnds(endpoint)) return 'its endpoint has not listed all its ended runs yet';
  if (term.state.evacuatedDataCentres.has(endpoint.dataCentre)) {
    return `data centre ${endpoint.dataCentre} is evacuated, ${endpoint.runs.size} tasks run on it`;
  }
  if (endpoint.isDraining) return 'its endpoint is leaving or no longer listed';
  if (isSuspected(term.state, endpoint))
    return 'its rack or its data centre is suspected to be lost';
  if (endpoint.withheldUntilMs > performance.now()) return `withheld: ${endpoint.withheldReason}`;
  const stopping = endpoint.orphanRuns.size;
  const stopped = stopping > 0 ? `, ${stopping} runs of earlier holders are being stopped` : '';
  return `${endpoint.runs.size} tasks run on it${stopped}`;
};

const describeJob = (job: JobState): string =>
  job.phase === 'running' ? `queue=${job.job.queue}: tasks run` : job.reason;

/** The lists by kind. */
const views: Readonly<Record<string, View>> = {
  pools: (term) =>
    Array.from(term.state.pools.values(), ({ name, openSteps }) => {
      const hosts = Array.from(term.fleet.inventory().hosts.values()).filter(
        ({ pool }) => pool === name,
      );
      const inUse = hosts.filter(
        ({ hostId }) => (findEndpointOn(term, hostId)?.runs.size ?? 0) > 0,
      );
      return { pool: name, hosts: hosts.length, inUse: inUse.length, waitingSteps: openSteps.size };
    }),
  hosts: (term) =>
    Array.from(term.fleet.inventory().hosts.values(), (host) => ({
      hostId: host.hostId,
      pool: host.pool,
      phase: host.state,
      dataCentre: host.dataCentre,
      rack: rackOf(host),
      cores: host.capacity.cpuMillis / MILLIS_PER_CORE,
      reason: describeHost(term, host.hostId),
    })),
  jobs: (term) =>
    Array.from(term.state.jobs.values())
      .slice(0, MAX_ROWS)
      .map((job) => ({
        name: job.job.jobId,
        pool: job.job.pool,
        team: job.job.queue,
        account: job.job.owner?.account,
        phase: job.phase,
        reason: describeJob(job),
      })),
  placements: (term) =>
    Array.from(term.state.endpoints.values())
      .flatMap((endpoint) =>
        Array.from(endpoint.runs.values(), ({ task, run, phase, percent }) => ({
          jobId: task.key,
          hostId: endpoint.hostId,
          pool: endpoint.pool,
          phase,
          epoch: run,
          reason: `${percent} % on endpoint ${endpoint.endpointId}`,
        })),
      )
      .slice(0, MAX_ROWS),
  accounts: (term) => listAccountRows(term, performance.now()),
  'data-centres': listDataCentreRows,
  domains: (term) => listDomainRows(domainViewSource(term)),
  waves: (term) =>
    term.fleet.waves().map((wave) => {
      const { request, hosts } = wave;
      const done = Array.from(hosts.values()).filter(({ phase }) => phase === 'done').length;
      return {
        waveId: request.waveNumber,
        phase: term.fleet.isComplete(wave) ? 'done' : 'running',
        selector: `${hosts.size} hosts, ${request.maximum} at once`,
        reason: `${done} done`,
      };
    }),
};

/**
 * Describes what the waiting tasks of a step wait for: the evacuated data centres if only endpoints there could run them,
 * otherwise the quota, the share or free capacity.
 */
const describeWait = (term: Term, step: StepRun): string => {
  const evacuated = evacuationsBlocking(term.state, step);
  if (evacuated.length === 0) return describeWaitCause(term.state, step, performance.now());
  return `room: data centre ${evacuated.join(', ')} is evacuated`;
};

const describeStep = (term: Term, step: StepRun): string => {
  const { spec, waiting, doneCount, isOpen } = step;
  const locations = Array.from(step.perEndpoint.keys()).map((id) => {
    const endpoint = term.state.endpoints.get(id);
    return `host=${endpoint?.hostId ?? 'unknown'} rack=${endpoint ? rackOf(endpoint) : ''}`;
  });
  const state = isOpen
    ? `${waiting.length} wait for ${describeWait(term, step)}`
    : `waits for steps ${spec.after.join(',')}`;
  const needs = `${spec.cpuMillis / MILLIS_PER_CORE} cores, ${spec.memoryMb} MB`;
  const spread = describeSpread(term.state, step);
  return [
    `${doneCount} of ${spec.taskCount} done, ${state} (${needs} each)`,
    ...(spread === '' ? [] : [`spread ${spread}`]),
    ...(locations.length > 0 ? [`on ${locations.join('; ')}`] : []),
  ].join(', ');
};

/** Describes how far a recurring job is; '' for another one. */
const describeOccurrences = ({ job, doneBelow, doneAhead, occurrences }: JobState): string =>
  job.repeats === 0
    ? ''
    : `; ${doneBelow + doneAhead.size} of ${job.repeats} occurrences done, ${occurrences.size} in progress`;

/** Describes how many hosts of a wave are forecast to be late and why; '' if none is. */
const describeLateHosts = ({ lateHosts, reason }: WaveForecast): string =>
  lateHosts === 0 ? '' : `, ${lateHosts} of them expected late: ${reason}`;

/** Explain one object of each kind; undefined if there is no object with the name. */
const explainers: Readonly<Record<string, (term: Term, name: string) => object | undefined>> = {
  account: (term, name) => {
    const rows = listAccountRows(term, performance.now()) as readonly Record<string, unknown>[];
    const row = rows.find(({ account }) => account === name);
    return (
      row && {
        outcome: `${String(row.jobs)} jobs, ${String(row.running)} running of ${String(row.maximum)}`,
        reason: `${String(row.reason)}; ${String(row.refused)} refused by forecast, ${String(row.late)} done late`,
      }
    );
  },
  'data-centre': explainDataCentre,
  job: (term, name) => {
    const job = term.state.jobs.get(name as JobId);
    const status = term.statusOf(name as JobId);
    const refusal = term.admission.findRefusal(name as JobId);
    if (!job && !status && refusal) {
      return { outcome: 'refused', reason: explainRefusal(refusal) };
    }
    const shortage = term.memory.findRefusal(name as JobId);
    if (!job && !status && shortage) {
      return { outcome: 'refused', reason: explainShortage(shortage) };
    }
    const deferred = term.state.deferredJobs.get(name as JobId);
    if (deferred) {
      const { neededBytes, queue } = deferred;
      return {
        outcome: status?.phase ?? 'pending',
        reason: `queue=${queue}: waits until the holder of control has ${neededBytes} bytes of memory for it`,
      };
    }
    if (!job) return status && { outcome: status.phase, reason: status.reason };
    const steps = Array.from(job.occurrences.values()).flatMap((occurrence) => occurrence.steps);
    return {
      outcome: job.phase,
      reason: describeJob(job) + describeOccurrences(job),
      reasons: isFinal(job.phase)
        ? []
        : steps.map((step) => ({
            of: `occurrence ${step.occurrence.number} step ${step.number}`,
            reason: describeStep(term, step),
          })),
    };
  },
  domain: (term, name) => explainDomain(domainViewSource(term), name),
  host: (term, name) => {
    const host = term.fleet.inventory().hosts.get(name as HostId);
    return host && { outcome: host.state, reason: describeHost(term, host.hostId) };
  },
  wave: (term, name) => {
    const wave = term.fleet.waves().find(({ request }) => String(request.waveNumber) === name);
    return (
      wave && {
        outcome: `${wave.request.hosts.length} hosts${describeLateHosts(wave.forecast)}`,
        reasons: Array.from(wave.hosts, ([hostId, { phase, reason }]) => ({
          of: `host ${hostId}`,
          reason: reason === '' ? phase : `${phase}: ${reason}`,
        })),
      }
    );
  },
};

type Handler = (term: Term, body: Body, version: number) => OperatorResult;

/** The kinds of queries that are answered from the platform's list of hosts. */
const HOST_LIST_KINDS: ReadonlySet<string> = new Set([
  'data-centre',
  'data-centres',
  'domain',
  'domains',
  'host',
  'hosts',
  'pools',
]);

/**
 * Tells whether a query needs the list of hosts while this holder has not read it yet. Such a query is refused, because
 * the answer would look like that of a fleet without hosts.
 */
const needsUnreadHostList = (term: Term, { kind = '' }: Body): boolean =>
  HOST_LIST_KINDS.has(kind) && term.fleet.inventory().lastRequestedAtMs === -Infinity;

const handlers: Readonly<Record<string, Handler>> = {
  get: (term, { kind = '' }) => {
    const view = views[kind];
    if (!view) return { kind: 'not-found', detail: `there is no list named '${kind}'` };
    return { kind: 'ok', value: view(term) };
  },
  explain: (term, { kind = '', name = '' }, version) => {
    const found = explainers[kind]?.(term, name);
    if (!found) return { kind: 'not-found', detail: `no ${kind} named '${name}' is known` };
    return { kind: 'ok', value: { subject: `${kind}/${name}`, revision: version, ...found } };
  },
  status: (term, _, version) => ({
    kind: 'ok',
    value: {
      revision: version,
      evacuatedDataCentres: term.state.evacuatedDataCentres.size,
      entries: [
        {
          entryId: term.self,
          controls: `fence ${term.state.fence}`,
          endpoints: term.state.endpoints.size,
        },
      ],
    },
  }),
};

/** The mesh method by which entries forward operators' queries to the holder. */
export const OPERATORS_METHOD = 'operators';

/** An operator's query: `get`, `explain` or `status`, and the kind and the name that it is about. */
export type OperatorQuery = { readonly method: string; readonly body: Body };

/**
 * Answers an operator's query if this entry holds control.
 *
 * @param control - The control of this entry.
 * @param question - The method and the body of the query.
 * @param version - The version of the configuration in force.
 * @returns The answer; undefined if this entry does not hold control.
 */
export const answerOperator = (
  control: Pick<Control, 'term'>,
  { method, body }: OperatorQuery,
  version: number,
): OperatorResult | undefined => {
  const term = control.term();
  if (!term) return undefined;
  const handler = handlers[method];
  if (!handler) return { kind: 'not-found', detail: `no method '${method}'` };
  if (needsUnreadHostList(term, body)) {
    return { kind: 'unavailable', detail: 'the list of hosts has not been read yet' };
  }
  return handler(term, body, version);
};
