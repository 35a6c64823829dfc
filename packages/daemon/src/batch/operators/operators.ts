/**
 * What operators may ask about batch work, at any entry: the holder of control answers, in the
 * operator's own names. The answers have the shapes that the command line shows.
 */
import {
  describeSpread,
  evacuationsBlocking,
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
import { accountRows, waitsFor } from './account-views.js';
import { dataCentreRows, explainDataCentre } from './data-centre-views.js';
import { explainRefusal } from '../jobs/job-admission.js';
import { domainRows, explainDomain, type DomainSight } from './domain-views.js';
import type { Control } from '../control/control.js';
import type { Term } from '../control/term.js';

type Body = { readonly kind?: string; readonly name?: string };
type View = (term: Term) => readonly object[];

const MILLIS = 1000;
/** A list for people; a fleet has more jobs than anybody reads. */
const MOST_ROWS = 1000;

const endpointOn = (term: Term, hostId: HostId): EndpointState | undefined => {
  const instanceId = term.fleet.inventory().hosts.get(hostId)?.instanceId;
  return instanceId ? term.state.currentIncarnations.get(instanceId) : undefined;
};

const domainSight = ({ state, fleet }: Term): DomainSight => ({
  state,
  hosts: fleet.inventory().hosts.values(),
  nowMs: performance.now(),
});

/** Why a host is withheld from something, or ''. */
const hostReason = (term: Term, hostId: HostId): string => {
  const waiting = term.fleet
    .waves()
    .map(({ request, hosts }) => ({ wave: request.waveNumber, host: hosts.get(hostId) }))
    .find(({ host }) => host && host.phase !== 'done');
  if (waiting?.host) {
    const { phase, reason } = waiting.host;
    return `wave ${waiting.wave}: ${phase}${reason === '' ? '' : `, ${reason}`}`;
  }
  const endpoint = endpointOn(term, hostId);
  if (!endpoint) return 'no endpoint lives on it';
  if (!endpoint.hasReported) return 'its endpoint has not answered this holder yet';
  if (term.state.evacuatedDataCentres.has(endpoint.dataCentre)) {
    return `data centre ${endpoint.dataCentre} is evacuated, ${endpoint.runs.size} tasks run on it`;
  }
  if (endpoint.isDraining) return 'its endpoint leaves or is not listed any more';
  if (isSuspected(term.state, endpoint))
    return 'its rack or its data centre is suspected to be lost';
  if (endpoint.withheldUntilMs > performance.now()) return `withheld: ${endpoint.withheldReason}`;
  return `${endpoint.runs.size} tasks run on it`;
};

const jobReason = (job: JobState): string =>
  job.phase === 'running' ? `queue=${job.job.queue}: tasks run` : job.reason;

const views: Readonly<Record<string, View>> = {
  pools: (term) =>
    Array.from(term.state.pools.values(), ({ name, openSteps }) => {
      const hosts = Array.from(term.fleet.inventory().hosts.values()).filter(
        ({ pool }) => pool === name,
      );
      const inUse = hosts.filter(({ hostId }) => (endpointOn(term, hostId)?.runs.size ?? 0) > 0);
      return { pool: name, hosts: hosts.length, inUse: inUse.length, waitingSteps: openSteps.size };
    }),
  hosts: (term) =>
    Array.from(term.fleet.inventory().hosts.values(), (host) => ({
      hostId: host.hostId,
      pool: host.pool,
      phase: host.state,
      dataCentre: host.dataCentre,
      rack: rackOf(host),
      cores: host.capacity.cpuMillis / MILLIS,
      reason: hostReason(term, host.hostId),
    })),
  jobs: (term) =>
    Array.from(term.state.jobs.values())
      .slice(0, MOST_ROWS)
      .map((job) => ({
        name: job.job.jobId,
        pool: job.job.pool,
        team: job.job.queue,
        account: job.job.owner?.account,
        phase: job.phase,
        reason: jobReason(job),
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
      .slice(0, MOST_ROWS),
  accounts: (term) => accountRows(term, performance.now()),
  'data-centres': dataCentreRows,
  domains: (term) => domainRows(domainSight(term)),
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

const waitReason = (term: Term, step: StepRun): string => {
  const awaited = evacuationsBlocking(term.state, step);
  if (awaited.length === 0) return waitsFor(term.state, step, performance.now());
  return `room: data centre ${awaited.join(', ')} is evacuated`;
};

const stepReason = (term: Term, step: StepRun): string => {
  const { spec, waiting, doneCount, isOpen } = step;
  const places = Array.from(step.perEndpoint.keys()).map((id) => {
    const endpoint = term.state.endpoints.get(id);
    return `host=${endpoint?.hostId ?? 'unknown'} rack=${endpoint ? rackOf(endpoint) : ''}`;
  });
  const state = isOpen
    ? `${waiting.length} wait for ${waitReason(term, step)}`
    : `waits for steps ${spec.after.join(',')}`;
  const needs = `${spec.cpuMillis / MILLIS} cores, ${spec.memoryMb} MB`;
  const spread = describeSpread(term.state, step);
  return [
    `${doneCount} of ${spec.taskCount} done, ${state} (${needs} each)`,
    ...(spread === '' ? [] : [`spread ${spread}`]),
    ...(places.length > 0 ? [`on ${places.join('; ')}`] : []),
  ].join(', ');
};

/** What is expected of a wave that cannot be in time. */
const lateText = ({ lateHosts, reason }: WaveForecast): string =>
  lateHosts === 0 ? '' : `, ${lateHosts} of them expected late: ${reason}`;

const explainers: Readonly<Record<string, (term: Term, name: string) => object | undefined>> = {
  account: (term, name) => {
    const rows = accountRows(term, performance.now()) as readonly Record<string, unknown>[];
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
    if (!job) return status && { outcome: status.phase, reason: status.reason };
    const steps = Array.from(job.occurrences.values()).flatMap((one) => one.steps);
    return {
      outcome: job.phase,
      reason: jobReason(job),
      reasons: isFinal(job.phase)
        ? []
        : steps.map((step) => ({
            of: `occurrence ${step.occurrence.number} step ${step.number}`,
            reason: stepReason(term, step),
          })),
    };
  },
  domain: (term, name) => explainDomain(domainSight(term), name),
  host: (term, name) => {
    const host = term.fleet.inventory().hosts.get(name as HostId);
    return host && { outcome: host.state, reason: hostReason(term, host.hostId) };
  },
  wave: (term, name) => {
    const wave = term.fleet.waves().find(({ request }) => String(request.waveNumber) === name);
    return (
      wave && {
        outcome: `${wave.request.hosts.length} hosts${lateText(wave.forecast)}`,
        reasons: Array.from(wave.hosts, ([hostId, { phase, reason }]) => ({
          of: `host ${hostId}`,
          reason: reason === '' ? phase : `${phase}: ${reason}`,
        })),
      }
    );
  },
};

type Handler = (term: Term, body: Body, version: number) => OperatorResult;

/** What is answered from the list of hosts. */
const HOST_KINDS: ReadonlySet<string> = new Set([
  'data-centre',
  'data-centres',
  'domain',
  'domains',
  'host',
  'hosts',
  'pools',
]);

/** A list that was not read says nothing: it must not look like a fleet without hosts. */
const isUnreadable = (term: Term, { kind = '' }: Body): boolean =>
  HOST_KINDS.has(kind) && term.fleet.inventory().lastRequestedAtMs === -Infinity;

const handlers: Readonly<Record<string, Handler>> = {
  get: (term, { kind = '' }) => {
    const view = views[kind];
    if (!view) return { kind: 'not-found', detail: `nothing named '${kind}' is kept here` };
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

/** The method of the mesh by which entries pass operators' questions to the holder. */
export const OPERATORS_METHOD = 'operators';

/** A question of an operator. */
export type OperatorQuestion = { readonly method: string; readonly body: Body };

/**
 * Answers an operator where control is held.
 *
 * @param control - The control of this entry.
 * @param question - The method and its body.
 * @param version - The version of the configuration in force.
 * @returns The answer, or undefined where control is not held.
 */
export const answerOperator = (
  control: Pick<Control, 'term'>,
  { method, body }: OperatorQuestion,
  version: number,
): OperatorResult | undefined => {
  const term = control.term();
  if (!term) return undefined;
  const handler = handlers[method];
  if (!handler) return { kind: 'not-found', detail: `no method '${method}'` };
  if (isUnreadable(term, body)) {
    return { kind: 'unavailable', detail: 'the list of hosts has not been read yet' };
  }
  return handler(term, body, version);
};
