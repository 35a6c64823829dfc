/** Guards against tasks that cost memory before they start or after they are done. */
import { describe, expect, it } from 'vitest';
import { change } from '../../shared/change.js';

import type { Task } from './job-state.js';
import { TaskList } from './task-list.js';

const LENGTH = 200;

const createList = (length = LENGTH): TaskList =>
  new TaskList({ jobId: 'job', occurrence: 2, step: 1, length });

const complete = (list: TaskList, index: number): void => {
  const task = list.at(index) as Task;
  change(task, { phase: 'done' });
  list.releaseCompleted(task);
};

describe('the tasks of a step', () => {
  it('have no record before they are looked up', () => {
    expect(createList(20_000).countRecorded()).toBe(0);
  });

  it('keep one record each, under the key of the task', () => {
    const list = createList();
    expect(list.at(7)?.key).toBe('job.2.1.7');
    expect(list.at(7)).toBe(list.recordAt(7));
    expect(list.recorded()).toEqual([list.at(7)]);
  });

  it.each([-1, LENGTH, 0.5, NaN])('do not contain one with the index %d', (index) => {
    const list = createList();
    expect(list.at(index)).toBeUndefined();
    expect(list.countRecorded()).toBe(0);
  });

  it('are listed in the order of their indices', () => {
    const list = createList();
    [9, 3, 150].forEach((index) => list.at(index));
    expect(list.recorded().map(({ index }) => index)).toEqual([3, 9, 150]);
    expect(list.all().map(({ index }) => index)).toEqual(
      Array.from({ length: LENGTH }, (_, index) => index),
    );
  });

  describe('that are completed', () => {
    it('stay completed and give their records back', () => {
      const list = createList();
      [0, 8, 199].forEach((index) => complete(list, index));
      expect(list.countRecorded()).toBe(0);
      const done = Array.from({ length: LENGTH }, (_, index) => index).filter((index) =>
        list.isDone(index),
      );
      expect(done).toEqual([0, 8, 199]);
      expect(list.at(8)?.phase).toBe('done');
      expect(list.countRecorded()).toBe(0);
    });

    it('stay completed when they are completed twice', () => {
      const list = createList();
      complete(list, 5);
      complete(list, 5);
      expect(list.isDone(5)).toBe(true);
      expect(list.isDone(6)).toBe(false);
    });

    it('are known in a short list too', () => {
      const list = createList(3);
      complete(list, 1);
      expect([0, 1, 2].map((index) => list.isDone(index))).toEqual([false, true, false]);
    });
  });
});
