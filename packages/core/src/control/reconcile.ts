/**
 * Reconciling the workers of one data centre with the placements: what to start, drain, stop,
 * renew and report. Starting is idempotent by job and epoch, so two entries may do it at once.
 */
import type {
  HostRow,
  PlacementPhase,
  PlacementRow,
  TaskOutcome,
  Versioned,
} from '../rows/rows.js';
import type { HostId, JobId } from '../shared/ids.js';

/** A task as its worker tells of it. */
export type ObservedTask = {
  readonly jobId: JobId;
  readonly epoch: number;
  readonly hostId: HostId;
  readonly phase: 'starting' | 'running' | 'leaving' | 'done' | 'failed';
  readonly service: string | null;
  readonly address: string | null;
};

/** What to do at the workers or in the table. */
export type ReconcileAction =
  | { readonly kind: 'start'; readonly placement: PlacementRow }
  /** Mark as leaving: no new requests, those in flight go on. */
  | { readonly kind: 'drain'; readonly task: ObservedTask }
  /** Stop for good, once the entries have nothing in flight there. */
  | { readonly kind: 'stop'; readonly task: ObservedTask }
  | { readonly kind: 'renew'; readonly task: ObservedTask }
  | { readonly kind: 'forget'; readonly task: ObservedTask }
  | {
      readonly kind: 'report';
      readonly placement: Versioned<PlacementRow>;
      readonly phase: PlacementPhase;
      readonly outcome: TaskOutcome;
    };

type Pair = {
  readonly placement: Versioned<PlacementRow>;
  /** The task of the placement's own epoch. */
  readonly task: ObservedTask | undefined;
};

const report = (
  { placement }: Pair,
  phase: PlacementPhase,
  outcome: TaskOutcome,
): ReconcileAction => ({ kind: 'report', placement, phase, outcome });

type TaskHandler = (pair: Pair, task: ObservedTask) => readonly ReconcileAction[];

const reportEnd =
  (outcome: TaskOutcome): TaskHandler =>
  (pair) => [report(pair, 'stopped', outcome)];

const keepRunning: TaskHandler = (pair, task) => {
  const renewal: ReconcileAction = { kind: 'renew', task };
  const isKnown = pair.placement.value.phase === 'running';
  return isKnown ? [renewal] : [renewal, report(pair, 'running', 'none')];
};

const whenWanted: Record<ObservedTask['phase'], TaskHandler> = {
  starting: (_, task) => [{ kind: 'renew', task }],
  running: keepRunning,
  leaving: (_, task) => [{ kind: 'renew', task }],
  done: reportEnd('done'),
  failed: reportEnd('failed'),
};

const wanted = (pair: Pair): readonly ReconcileAction[] => {
  const { task, placement } = pair;
  if (task) return whenWanted[task.phase](pair, task);
  if (placement.value.phase === 'running') return [report(pair, 'stopped', 'lost')];
  return [{ kind: 'start', placement: placement.value }];
};

const unwanted =
  (endPhase: PlacementPhase) =>
  (pair: Pair): readonly ReconcileAction[] => {
    const { task, placement } = pair;
    if (!task) return [report(pair, endPhase, placement.value.outcome)];
    if (task.phase === 'done') return [report(pair, 'stopped', 'done')];
    if (task.phase === 'failed') return [report(pair, 'stopped', 'failed')];
    // A job that is given up may be placed again once its lease has ended, so it is not renewed.
    if (task.service === null) return [{ kind: 'stop', task }];
    const renewal: ReconcileAction = { kind: 'renew', task };
    return task.phase === 'leaving'
      ? [renewal, { kind: 'stop', task }]
      : [renewal, { kind: 'drain', task }];
  };

const handlers: Record<PlacementPhase, (pair: Pair) => readonly ReconcileAction[]> = {
  assigned: wanted,
  running: wanted,
  stopping: unwanted('stopped'),
  parking: unwanted('parked'),
  stopped: () => [],
  parked: () => [],
};

const isEnded = ({ phase }: ObservedTask): boolean => phase === 'done' || phase === 'failed';

/** A task without a placement of its epoch is left over; it is drained before it is stopped. */
const leftOver = (task: ObservedTask): ReconcileAction => {
  if (isEnded(task)) return { kind: 'forget', task };
  return task.phase === 'leaving' ? { kind: 'stop', task } : { kind: 'drain', task };
};

const taskKey = (jobId: string, epoch: number): string => `${jobId}@${epoch}`;

/**
 * Compares placements with tasks.
 *
 * @param placements - The placements on hosts of the data centre, freshly read.
 * @param tasks - The tasks of the data centre's workers.
 * @returns The actions, in the order in which they are to be carried out.
 */
export const reconcile = (
  placements: readonly Versioned<PlacementRow>[],
  tasks: readonly ObservedTask[],
): readonly ReconcileAction[] => {
  const tasksByKey = new Map(tasks.map((task) => [taskKey(task.jobId, task.epoch), task]));
  const keyOf = ({ value }: Versioned<PlacementRow>) => taskKey(value.jobId, value.epoch);
  const wantedKeys = new Set(
    placements
      .filter(({ value }) => value.phase !== 'stopped' && value.phase !== 'parked')
      .map(keyOf),
  );
  return [
    ...placements.flatMap((placement) =>
      handlers[placement.value.phase]({ placement, task: tasksByKey.get(keyOf(placement)) }),
    ),
    ...tasks.filter((task) => !wantedKeys.has(taskKey(task.jobId, task.epoch))).map(leftOver),
  ];
};

/**
 * Lists the draining hosts that are empty: no placement but parked ones, and no task.
 *
 * @param hosts - The rows of hosts of the data centre, read first.
 * @param placements - The placements, read after them.
 * @param tasks - The tasks, read last: so nothing can have come in between.
 * @returns The hosts that are verified empty.
 */
export const emptyHosts = (
  hosts: readonly Versioned<HostRow>[],
  placements: readonly Versioned<PlacementRow>[],
  tasks: readonly ObservedTask[],
): readonly Versioned<HostRow>[] => {
  const inUse = new Set<HostId>([
    ...placements.filter(({ value }) => value.phase !== 'parked').map(({ value }) => value.hostId),
    ...tasks.map(({ hostId }) => hostId),
  ]);
  return hosts.filter(({ value }) => value.phase === 'draining' && !inUse.has(value.hostId));
};

/**
 * Lists the tasks whose leases are to be renewed while the table cannot be read: the executors
 * that were wanted when it was last read. A submitted job is not renewed: it may be placed again
 * elsewhere, and must have ended here by then.
 *
 * @param placements - The placements as last read.
 * @param tasks - The tasks of the data centre's workers.
 * @returns The tasks to renew.
 */
export const renewals = (
  placements: readonly Versioned<PlacementRow>[],
  tasks: readonly ObservedTask[],
): readonly ObservedTask[] => {
  const known = new Set(
    placements
      .filter(({ value }) => value.service !== null)
      .map(({ value }) => taskKey(value.jobId, value.epoch)),
  );
  return tasks.filter((task) => !isEnded(task) && known.has(taskKey(task.jobId, task.epoch)));
};
