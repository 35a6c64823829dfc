/** The accepted jobs that wait in their rows for memory: which of them are added to the state next. */
import type { JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { parseTaskKey, type TaskKey } from '../model/job.js';
import type { BatchState, DeferredJob } from '../model/state.js';
import { memoryScopeOf, type JobMemory, type MemoryScope } from './job-memory.js';

/**
 * Has a job that waits for memory added to the state soon, because something else depends on it.
 *
 * @param state - The state, changed in place.
 * @param jobId - The job.
 * @returns True if the job waits for memory.
 */
export const requestDeferredJob = (state: BatchState, jobId: JobId): boolean => {
  const deferred = state.deferredJobs.get(jobId);
  if (deferred) change(deferred, { isRequested: true });
  return deferred !== undefined;
};

/**
 * Has the jobs of some tasks added to the state if they wait for memory. What an endpoint lists of these tasks cannot be
 * applied before.
 *
 * @param state - The state, changed in place.
 * @param tasks - The tasks that an endpoint lists.
 * @returns True if a job of one of them waits for memory.
 */
export const requestDeferredJobsOf = (state: BatchState, tasks: readonly TaskKey[]): boolean => {
  if (state.deferredJobs.size === 0) return false;
  const requested = tasks.filter((task) => {
    const name = parseTaskKey(task);
    return name !== undefined && requestDeferredJob(state, name.jobId);
  });
  return requested.length > 0;
};

/**
 * Selects the jobs that are added to the state next: those that were requested, then those for which there is memory, of
 * each scope in the order in which they were accepted.
 *
 * @param state - The state.
 * @param memory - The memory that jobs take.
 * @param options - How many jobs to select at most, and the current time by the monotonic clock.
 * @returns The jobs.
 */
export const selectDeferredJobs = (
  { deferredJobs }: BatchState,
  memory: Pick<JobMemory, 'hasSpaceFor'>,
  { most, nowMs }: { readonly most: number; readonly nowMs: number },
): readonly DeferredJob[] => {
  const inOrder = Array.from(deferredJobs.values());
  const fullScopes = new Set<MemoryScope>();
  const hasSpace = (deferred: DeferredJob): boolean => {
    const scope = memoryScopeOf(deferred);
    if (fullScopes.has(scope)) return false;
    if (memory.hasSpaceFor(deferred, nowMs)) return true;
    fullScopes.add(scope);
    return false;
  };
  const requested = inOrder.filter(({ isRequested }) => isRequested);
  const next = inOrder.filter((deferred) => !deferred.isRequested && hasSpace(deferred));
  return [...requested, ...next].slice(0, most);
};
