/** Formats the answers of each method as tables or lines for people. */
import { formatTable } from './output.js';

type Row = Readonly<Record<string, unknown>>;
type Difference = {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
};

/**
 * Formats a difference between two configurations, one line for each declaration.
 *
 * @param difference - The keys of the added, changed and removed declarations.
 * @returns The lines.
 */
export const formatDifference = ({ added, changed, removed }: Difference): readonly string[] => [
  ...added.map((key) => `+ ${key}`),
  ...changed.map((key) => `~ ${key}`),
  ...removed.map((key) => `- ${key}`),
];

/**
 * Formats the result of an apply.
 *
 * @param value - The new revision, the difference, and the entries that have applied it or did not
 *   confirm it.
 * @returns The lines.
 */
export const formatApplyResult = (value: {
  revision: number;
  difference: Difference;
  inForce?: readonly string[];
  unreachable?: readonly string[];
}): readonly string[] => [
  ...formatDifference(value.difference),
  `revision ${value.revision}`,
  ...(value.inForce ? [`in force on: ${value.inForce.join(', ')}`] : []),
  ...(value.unreachable?.length ? [`not confirmed by: ${value.unreachable.join(', ')}`] : []),
];

/** The columns of each kind of list, which are properties of its rows. */
export const columns = {
  pools: ['pool', 'hosts', 'inUse', 'prefer', 'reserveFor', 'waitingSteps'],
  hosts: ['hostId', 'pool', 'phase', 'dataCentre', 'rack', 'cores', 'reason'],
  placements: ['jobId', 'hostId', 'pool', 'phase', 'epoch', 'reason'],
  jobs: ['name', 'pool', 'team', 'phase', 'failures', 'reason'],
  accounts: ['account', 'weight', 'jobs', 'running', 'maximum', 'waitingTasks', 'reason'],
  'data-centres': [
    'dataCentre',
    'evacuatedSince',
    'ageMs',
    'revision',
    'hosts',
    'shortRuns',
    'longRuns',
    'freeCoresElsewhere',
  ],
  domains: ['domain', 'kind', 'hosts', 'pools', 'runs', 'phase', 'reason'],
  waves: ['waveId', 'phase', 'selector', 'reason'],
  entries: ['entryId', 'dataCentre', 'revision', 'seat', 'controls', 'endpoints', 'isUnreachable'],
} as const;

/** Copies the name, pool and team of a job row to its top level, where the columns expect them. */
const flattenJob = (row: Row): Row => {
  const job = row.job as { name: string; spec: Row } | undefined;
  return job ? { ...row, name: job.name, pool: job.spec.pool, team: job.spec.team } : row;
};

/**
 * Creates the formatter for a kind of list.
 *
 * @param kind - The kind of list.
 * @returns The formatter.
 */
export const createListFormatter =
  (kind: keyof typeof columns) =>
  (rows: readonly Row[]): readonly string[] =>
    formatTable(rows.map(flattenJob), columns[kind]);

/**
 * Formats an explanation.
 *
 * @param value - The decision on a request, or the reasons stored in rows.
 * @returns The lines.
 */
export const formatExplanation = (value: {
  subject: string;
  revision: number;
  outcome?: string;
  reason?: string;
  tried?: readonly string[];
  reasons?: readonly { of: string; reason: string }[];
}): readonly string[] => [
  `${value.subject} (revision ${value.revision})`,
  ...(value.outcome === undefined ? [] : [`outcome: ${value.outcome}`]),
  ...(value.reason === undefined ? [] : [`because: ${value.reason}`]),
  ...(value.tried ?? []).map((attempt) => `tried: ${attempt}`),
  ...(value.reasons ?? []).map(({ of, reason }) => `${of}: ${reason}`),
];

/**
 * Formats the status of the entries.
 *
 * @param value - The revision and the entries.
 * @returns The lines.
 */
export const formatStatus = (value: {
  revision: number;
  evacuatedDataCentres?: number;
  entries: readonly Row[];
}) => [
  `revision ${value.revision}`,
  ...(value.evacuatedDataCentres ? [`evacuated data centres ${value.evacuatedDataCentres}`] : []),
  ...formatTable(value.entries, columns.entries),
];
