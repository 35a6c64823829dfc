/**
 * The counted crashes in the progress row of a job. Supposed crashes have a list of their own, because earlier builds count
 * every crash of the list of known ones when they decide whether to give the job up.
 */
import type { EndpointCrash, Task } from '../model/state.js';

/** A counted crash as a row contains it. Rows of earlier builds do not tell whether it is known. */
export type StoredCrash = Omit<EndpointCrash, 'isKnown'> & { readonly isKnown?: boolean };

/** Pairs of a task index and crashes of endpoints that ran the task, or may have run it. */
export type CrashRows = readonly (readonly [number, readonly StoredCrash[]])[];

/** The crashes that a progress row names for one step. */
export type CrashLists = {
  readonly crashes?: CrashRows;
  /** Supposed crashes. Rows of earlier builds have them in `crashes`. */
  readonly supposed?: CrashRows;
};

const isTrue = (value: unknown): boolean => value === true;

const restoreCrash = ({ isKnown, ...stored }: StoredCrash): EndpointCrash =>
  isTrue(isKnown ?? stored.isConfirmed)
    ? { ...stored, isKnown: true, isConfirmed: isTrue(stored.isConfirmed) }
    : { ...stored, isKnown: false, isConfirmed: false };

const isStoredCrash = (value: unknown): value is StoredCrash =>
  typeof value === 'object' && value !== null && Number.isSafeInteger((value as StoredCrash).run);

/** Reads the crashes of one task. A row that another writer left may hold what is no crash. */
const restoreCrashesOfTask = (stored: unknown): readonly EndpointCrash[] =>
  Array.isArray(stored) ? stored.filter(isStoredCrash).map(restoreCrash) : [];

/** Lists the crashes of each task that a condition holds for, without tasks that have none. */
const crashRowsOf = (tasks: readonly Task[], isWanted: (crash: EndpointCrash) => boolean) =>
  tasks.flatMap(({ index, crashes }) => {
    const wanted = crashes.filter(isWanted);
    return wanted.length > 0 ? [[index, wanted] as const] : [];
  });

/**
 * Builds the lists of crashes in the row of a step.
 *
 * @param tasks - The tasks of the step.
 * @returns The lists; an empty one is left out.
 */
export const buildCrashLists = (tasks: readonly Task[]): CrashLists => {
  const crashes = crashRowsOf(tasks, ({ isKnown }) => isKnown);
  const supposed = crashRowsOf(tasks, ({ isKnown }) => !isKnown);
  return {
    ...(crashes.length > 0 ? { crashes } : {}),
    ...(supposed.length > 0 ? { supposed } : {}),
  };
};

/**
 * Reads the crashes that a row names.
 *
 * @param lists - The lists in the row of a step.
 * @returns The crashes by task index, in the order in which they were counted.
 */
export const readCrashLists = ({
  crashes = [],
  supposed = [],
}: CrashLists): ReadonlyMap<number, readonly EndpointCrash[]> => {
  const byTask = new Map<number, readonly EndpointCrash[]>();
  [...crashes, ...supposed].forEach(([index, stored]) => {
    const both = [...(byTask.get(index) ?? []), ...restoreCrashesOfTask(stored)];
    byTask.set(
      index,
      both.toSorted((left, right) => left.run - right.run),
    );
  });
  return byTask;
};

/**
 * Tells whether the crashes that a row names show that a task of the step has started.
 *
 * @param lists - The lists in the row of a step.
 * @returns True if a run was seen on an endpoint that crashed.
 */
export const haveCrashedAfterStart = (lists: CrashLists): boolean =>
  Array.from(readCrashLists(lists).values()).some((crashes) =>
    crashes.some(({ isKnown, livedMs }) => isKnown || livedMs > 0),
  );
