/**
 * Reconciles the tasks of one data centre's workers with the placements: decides what to start,
 * drain, stop, renew and report. Starting a task is idempotent by job and epoch, so two entries may
 * do it at the same time.
 */
import type {
  HostRow,
  PlacementPhase,
  PlacementRow,
  TaskOutcome,
  Versioned,
} from '../rows/rows.js';
import type { HostId, JobId } from '../shared/ids.js';

/** A task as its worker reports it. */
export type ObservedTask = {
  readonly jobId: JobId;
  readonly epoch: number;
  readonly hostId: HostId;
  readonly phase: 'starting' | 'running' | 'leaving' | 'done' | 'failed';
  readonly service: string | null;
  readonly address: string | null;
};

/** An action to carry out at the workers or in the table. */
export type ReconcileAction =
  | { readonly kind: 'start'; readonly placement: PlacementRow }
  /** Mark the task as leaving: it gets no new requests, and those in flight continue. */
  | { readonly kind: 'drain'; readonly task: ObservedTask }
  /** Stop the task once the entries have no requests in flight to it. */
  | { readonly kind: 'stop'; readonly task: ObservedTask }
  | { readonly kind: 'renew'; readonly task: ObservedTask }
  /** Remove a task that has ended and is not wanted any more. */
  | { readonly kind: 'forget'; readonly task: ObservedTask }
  | {
      readonly kind: 'report';
      readonly placement: Versioned<PlacementRow>;
      readonly phase: PlacementPhase;
      readonly outcome: TaskOutcome;
    };

type PlacementWithTask = {
  readonly placement: Versioned<PlacementRow>;
  /** The task of the placement's epoch; undefined if the workers report none. */
  readonly task: ObservedTask | undefined;
};

const report = (
  { placement }: PlacementWithTask,
  phase: PlacementPhase,
  outcome: TaskOutcome,
): ReconcileAction => ({ kind: 'report', placement, phase, outcome });

type TaskHandler = (pair: PlacementWithTask, task: ObservedTask) => readonly ReconcileAction[];

const reportEnd =
  (outcome: TaskOutcome): TaskHandler =>
  (pair) => [report(pair, 'stopped', outcome)];

const keepRunning: TaskHandler = (pair, task) => {
  const renewal: ReconcileAction = { kind: 'renew', task };
  const isReported = pair.placement.value.phase === 'running';
  return isReported ? [renewal] : [renewal, report(pair, 'running', 'none')];
};

const wantedTaskHandlers: Record<ObservedTask['phase'], TaskHandler> = {
  starting: (_, task) => [{ kind: 'renew', task }],
  running: keepRunning,
  leaving: (_, task) => [{ kind: 'renew', task }],
  done: reportEnd('done'),
  failed: reportEnd('failed'),
};

const handleWanted = (pair: PlacementWithTask): readonly ReconcileAction[] => {
  const { task, placement } = pair;
  if (task) return wantedTaskHandlers[task.phase](pair, task);
  if (placement.value.phase === 'running') return [report(pair, 'stopped', 'lost')];
  return [{ kind: 'start', placement: placement.value }];
};

const handleUnwanted =
  (endPhase: PlacementPhase) =>
  (pair: PlacementWithTask): readonly ReconcileAction[] => {
    const { task, placement } = pair;
    if (!task) return [report(pair, endPhase, placement.value.outcome)];
    if (task.phase === 'done') return [report(pair, 'stopped', 'done')];
    if (task.phase === 'failed') return [report(pair, 'stopped', 'failed')];
    // A submitted job may be placed again once its lease has ended, so the lease is not renewed.
    if (task.service === null) return [{ kind: 'stop', task }];
    const renewal: ReconcileAction = { kind: 'renew', task };
    return task.phase === 'leaving'
      ? [renewal, { kind: 'stop', task }]
      : [renewal, { kind: 'drain', task }];
  };

const placementHandlers: Record<
  PlacementPhase,
  (pair: PlacementWithTask) => readonly ReconcileAction[]
> = {
  assigned: handleWanted,
  running: handleWanted,
  stopping: handleUnwanted('stopped'),
  parking: handleUnwanted('parked'),
  stopped: () => [],
  parked: () => [],
};

const isEnded = ({ phase }: ObservedTask): boolean => phase === 'done' || phase === 'failed';

/** Handles a task without an active placement of its epoch: it is drained before it is stopped. */
const handleOrphanedTask = (task: ObservedTask): ReconcileAction => {
  if (isEnded(task)) return { kind: 'forget', task };
  return task.phase === 'leaving' ? { kind: 'stop', task } : { kind: 'drain', task };
};

const taskKey = (jobId: string, epoch: number): string => `${jobId}@${epoch}`;

/**
 * Compares the placements with the tasks and decides what to do about each.
 *
 * @param placements - The placements on hosts of the data centre, read just now.
 * @param tasks - The tasks of the data centre's workers.
 * @returns The actions, in the order in which they are to be carried out.
 */
export const reconcile = (
  placements: readonly Versioned<PlacementRow>[],
  tasks: readonly ObservedTask[],
): readonly ReconcileAction[] => {
  const tasksByKey = new Map(tasks.map((task) => [taskKey(task.jobId, task.epoch), task]));
  const keyOf = ({ value }: Versioned<PlacementRow>) => taskKey(value.jobId, value.epoch);
  const activeKeys = new Set(
    placements
      .filter(({ value }) => value.phase !== 'stopped' && value.phase !== 'parked')
      .map(keyOf),
  );
  return [
    ...placements.flatMap((placement) =>
      placementHandlers[placement.value.phase]({
        placement,
        task: tasksByKey.get(keyOf(placement)),
      }),
    ),
    ...tasks
      .filter((task) => !activeKeys.has(taskKey(task.jobId, task.epoch)))
      .map(handleOrphanedTask),
  ];
};

/**
 * Lists the draining hosts that are empty, which means that they have no task and no placement other
 * than parked ones.
 *
 * @param hosts - The rows of hosts of the data centre, read first.
 * @param placements - The placements, read after the hosts.
 * @param tasks - The tasks, read last. In this order, no placement or task can be missed that was
 *   added between the reads.
 * @returns The hosts that are verified empty.
 */
export const findEmptyHosts = (
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
 * Lists the tasks whose leases are to be renewed while the table cannot be read: the executors that
 * had a placement when it was last read. The lease of a submitted job is not renewed, because the job
 * may be placed again elsewhere and must have ended here by then.
 *
 * @param placements - The placements as last read.
 * @param tasks - The tasks of the data centre's workers.
 * @returns The tasks to renew.
 */
export const listTasksToRenew = (
  placements: readonly Versioned<PlacementRow>[],
  tasks: readonly ObservedTask[],
): readonly ObservedTask[] => {
  const renewableKeys = new Set(
    placements
      .filter(({ value }) => value.service !== null)
      .map(({ value }) => taskKey(value.jobId, value.epoch)),
  );
  return tasks.filter(
    (task) => !isEnded(task) && renewableKeys.has(taskKey(task.jobId, task.epoch)),
  );
};
