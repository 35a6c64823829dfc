/** The tables that people see, one for each kind of answer. */
import { tableLines } from './output.js';

type Row = Readonly<Record<string, unknown>>;
type Difference = {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
};

/**
 * Writes a difference, one line for each declaration.
 *
 * @param difference - The difference.
 * @returns The lines.
 */
export const differenceLines = ({ added, changed, removed }: Difference): readonly string[] => [
  ...added.map((key) => `+ ${key}`),
  ...changed.map((key) => `~ ${key}`),
  ...removed.map((key) => `- ${key}`),
];

/**
 * Writes what an apply has done.
 *
 * @param value - The revision, the difference, and who has it in force.
 * @returns The lines.
 */
export const applyLines = (value: {
  revision: number;
  difference: Difference;
  inForce?: readonly string[];
  unreachable?: readonly string[];
}): readonly string[] => [
  ...differenceLines(value.difference),
  `revision ${value.revision}`,
  ...(value.inForce ? [`in force on: ${value.inForce.join(', ')}`] : []),
  ...(value.unreachable?.length ? [`not confirmed by: ${value.unreachable.join(', ')}`] : []),
];

/** The columns of each kind of list. */
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

const flattenJob = (row: Row): Row => {
  const job = row.job as { name: string; spec: Row } | undefined;
  return job ? { ...row, name: job.name, pool: job.spec.pool, team: job.spec.team } : row;
};

/**
 * Builds the writer of a list.
 *
 * @param kind - The kind of list.
 * @returns The writer.
 */
export const listWriter =
  (kind: keyof typeof columns) =>
  (rows: readonly Row[]): readonly string[] =>
    tableLines(rows.map(flattenJob), columns[kind]);

/**
 * Writes an explanation.
 *
 * @param value - The decision on a request, or the reasons on a row.
 * @returns The lines.
 */
export const explanationLines = (value: {
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
  ...(value.tried ?? []).map((one) => `tried: ${one}`),
  ...(value.reasons ?? []).map(({ of, reason }) => `${of}: ${reason}`),
];

/**
 * Writes the status of the entries.
 *
 * @param value - The revision and the entries.
 * @returns The lines.
 */
export const statusLines = (value: {
  revision: number;
  evacuatedDataCentres?: number;
  entries: readonly Row[];
}) => [
  `revision ${value.revision}`,
  ...(value.evacuatedDataCentres ? [`evacuated data centres ${value.evacuatedDataCentres}`] : []),
  ...tableLines(value.entries, columns.entries),
];
