/** Jobs and hosts as the input of placement. */
import { findDeclaration, type Configuration } from '../configuration/configuration.js';
import type { DeclarationOf, JobDeclaration, Urgency } from '../declarations/schema.js';
import type { HostRow, HostSpec } from '../rows/rows.js';
import { parseSelector } from '../selectors/parse-selector.js';
import type { Selector } from '../selectors/selector.js';
import {
  brand,
  type HostId,
  type JobId,
  type PoolName,
  type ServiceName,
  type TeamName,
} from '../shared/ids.js';

/** Resources that a host provides or a job uses. */
export type Resources = {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
};

/** A job to be placed on a host: an executor of a service, or a submitted job. */
export type PlaceableJob = Resources & {
  readonly jobId: JobId;
  readonly service: ServiceName | null;
  readonly pool: PoolName;
  readonly team: TeamName;
  readonly selector: Selector;
  readonly urgency: Urgency;
  readonly leaseMs: number;
  /**
   * Hosts that are chosen only if no other host is possible, such as hosts that the job failed on.
   */
  readonly avoidedHosts: readonly HostId[];
};

/** The state of a host that placement depends on. */
export type PlacementHost = {
  readonly spec: HostSpec;
  readonly row: HostRow;
  /** False once the platform's list shows that the host is gone. */
  readonly isLive: boolean;
  /** The resources that the jobs on it use. */
  readonly used: Resources;
  /** The number of executors of each service on it. */
  readonly executorCounts: ReadonlyMap<ServiceName, number>;
};

/** The lease of an executor: long enough that it does not expire while all entries are replaced. */
const EXECUTOR_LEASE_MS = 30_000;

/**
 * Describes an executor of a service as a job.
 *
 * @param service - The declaration of the service.
 * @param jobId - The executor's identifier.
 * @returns The job.
 */
export const toExecutorJob = (service: DeclarationOf<'Service'>, jobId: JobId): PlaceableJob => ({
  jobId,
  service: brand<ServiceName>(service.name),
  pool: brand<PoolName>(service.spec.pool),
  team: brand<TeamName>(service.spec.team),
  selector: parseSelector(service.spec.selector).unwrap(),
  urgency: 'urgent',
  leaseMs: EXECUTOR_LEASE_MS,
  avoidedHosts: [],
  cores: service.spec.cores,
  memoryMb: service.spec.memoryMb,
  accelerators: service.spec.accelerators,
});

/**
 * Describes a submitted job.
 *
 * @param job - Its declaration.
 * @param avoidedHosts - Hosts on which the job has failed.
 * @returns The job.
 */
export const toSubmittedJob = (
  job: JobDeclaration,
  avoidedHosts: readonly HostId[] = [],
): PlaceableJob => ({
  jobId: brand<JobId>(job.name),
  service: null,
  pool: brand<PoolName>(job.spec.pool),
  team: brand<TeamName>(job.spec.team),
  selector: parseSelector(job.spec.selector).unwrap(),
  urgency: job.spec.urgency,
  leaseMs: job.spec.leaseS * 1000,
  avoidedHosts,
  cores: job.spec.cores,
  memoryMb: job.spec.memoryMb,
  accelerators: job.spec.accelerators,
});

/** No resources at all. */
export const noResources: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/**
 * Adds resources.
 *
 * @param a - One amount.
 * @param b - Another.
 * @returns The sum.
 */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cores: a.cores + b.cores,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/**
 * Returns the cores that a team may use at one time.
 *
 * @param configuration - The configuration.
 * @param team - The team.
 * @returns Its quota in cores; 0 for a team that is not declared.
 */
export const teamQuotaCores = (configuration: Configuration, team: TeamName): number =>
  findDeclaration(configuration, 'Team', team)?.spec.quotaCores ?? 0;
