/**
 * Checks at the endpoints that no task runs twice at a time or starts again after an end that its holder knows or can learn
 * of, and that only reported and applied ends are acknowledged.
 */
import {
  findTask,
  isFinal,
  parseTaskKey,
  type BatchState,
  type EndedRunReport,
  type RunEndKind,
  type TaskKey,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { EndpointId } from '@valvelatch/core/shared/ids';

import type { SimEndpoint } from './sim-endpoint.fixtures.js';

/** How many violations are recorded: later ones tend to follow from the first ones. */
const MAX_VIOLATIONS = 3;

/** The end of a run as done, and the run of the same task that started after it, if any. */
type DoneEnd = {
  readonly endpointId: EndpointId;
  readonly task: TaskKey;
  readonly run: number;
  readonly atMs: number;
  followedBy: number | undefined;
  isAcknowledged: boolean;
};

/** A start of a run that an endpoint has carried out. */
export type ObservedStart = {
  readonly task: TaskKey;
  readonly run: number;
  readonly on: EndpointId;
};

export type RunInvariantsOptions = {
  readonly state: BatchState;
  /** The endpoints, including those that are added later. */
  readonly endpoints: ReadonlyMap<EndpointId, SimEndpoint>;
  /** True if another holder takes part, which acknowledges the run ends that are reported to itself. */
  readonly hasSuccessor: boolean;
};

/**
 * Creates the checks of one simulation.
 *
 * @param options - The holder's state and its endpoints.
 * @returns What was observed so far, and the functions to call when an endpoint acts.
 */
export const createRunInvariants = ({ state, endpoints, hasSuccessor }: RunInvariantsOptions) => {
  const doneEnds: DoneEnd[] = [];
  const violations: string[] = [];
  const starts: ObservedStart[] = [];
  const nowMs = (): number => performance.now();

  const recordViolation = (text: string): void => {
    if (violations.length < MAX_VIOLATIONS) violations.push(`${Math.round(nowMs())} ms: ${text}`);
  };

  const taskOf = (key: TaskKey) => {
    const name = parseTaskKey(key);
    return name && findTask(state, name);
  };

  /**
   * Tells whether a holder that asks now can learn of a run's end: the endpoint must be up, and its lease must not have
   * ended since the run's end.
   */
  const canBeReported = ({ endpointId, atMs }: DoneEnd): boolean => {
    const endpoint = endpoints.get(endpointId);
    if (!endpoint?.model.isUp()) return false;
    return !endpoint.lease.isOver() && endpoint.lease.lapsedAtMs() <= atMs;
  };

  const observeStart = (on: EndpointId, task: TaskKey, run: number): void => {
    starts.push({ task, run, on });
    endpoints.forEach(({ model }, other) => {
      if (other !== on && model.isUp() && model.runs.has(task))
        recordViolation(
          `${task} run ${run} started on ${on} while another run of it is on ${other}`,
        );
    });
    doneEnds
      .filter((end) => end.task === task)
      .forEach((end) => {
        const earlier = `${task} run ${end.run} had ended as done on ${end.endpointId}`;
        if (end.isAcknowledged)
          recordViolation(`run ${run} started on ${on} after ${earlier}, acknowledged`);
        else if (canBeReported(end))
          recordViolation(`run ${run} started on ${on} after ${earlier}, still listed`);
        change(end, { followedBy: run });
      });
  };

  const observeEnd = (
    on: EndpointId,
    task: TaskKey,
    run: number,
    kind: RunEndKind | 'died',
  ): void => {
    if (kind !== 'done') return;
    const atMs = nowMs();
    const followedBy = undefined;
    doneEnds.push({ endpointId: on, task, run, atMs, followedBy, isAcknowledged: false });
  };

  const isApplied = ({ task, run, kind }: EndedRunReport): boolean => {
    const found = taskOf(task);
    if (!found) return false;
    if (isFinal(found.step.job.phase)) return true;
    if (kind === 'done') return found.task.phase === 'done';
    return kind === 'failed' ? found.task.failedRuns.includes(run) : true;
  };

  const observeAcknowledged = (on: EndpointId, end: EndedRunReport): void => {
    const { number, task, run, kind } = end;
    const endpoint = endpoints.get(on);
    if (!endpoint) return;
    const description = `the end ${number} of ${task} run ${run} as ${kind} on ${on}`;
    // Another holder acknowledges the ends that were reported to itself, which are not recorded here.
    if (!hasSuccessor) {
      if (!endpoint.reportedEnds.has(number))
        recordViolation(`${description} was acknowledged but never reported`);
      else if (!isApplied(end)) recordViolation(`${description} was acknowledged but not applied`);
    }
    const ended = doneEnds.find(
      (one) => one.endpointId === on && one.task === task && one.run === run,
    );
    if (!ended || endpoint.lease.lapsedAtMs() > ended.atMs) return;
    ended.isAcknowledged = true;
    if (ended.followedBy !== undefined)
      recordViolation(`run ${ended.followedBy} had started after ${description}`);
  };

  return { violations, starts, recordViolation, observeStart, observeEnd, observeAcknowledged };
};
