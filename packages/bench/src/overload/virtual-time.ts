/** Virtual time for benchmarks of decisions: runs events in order of time without waiting. */

type Event = { readonly atMs: number; readonly order: number; readonly run: () => void };

/** A clock that advances from event to event. */
export type VirtualTime = {
  readonly nowMs: () => number;
  /**
   * Schedules an event. Events with the same time run in the order in which they were scheduled.
   */
  readonly schedule: (atMs: number, run: () => void) => void;
  /** Runs all events up to a time. Between events, pending promise callbacks run. */
  readonly runUntil: (untilMs: number) => Promise<void>;
};

const isBefore = (a: Event, b: Event): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** How many microtask turns run after each event, so that its chains of promises complete. */
const MICROTASK_TURNS = 6;

/**
 * Builds a clock at time 0.
 *
 * @returns The clock.
 */
export const createVirtualTime = (): VirtualTime => {
  const heap: Event[] = [];
  let nowMs = 0;
  let order = 0;

  const swap = (a: number, b: number): void => {
    const kept = heap[a] as Event;
    heap[a] = heap[b] as Event;
    heap[b] = kept;
  };
  const siftUp = (start: number): void => {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(heap[index] as Event, heap[parent] as Event)) return;
      swap(index, parent);
      index = parent;
    }
  };
  const siftDown = (): void => {
    let index = 0;
    for (;;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      let least = index;
      if (left < heap.length && isBefore(heap[left] as Event, heap[least] as Event)) least = left;
      if (right < heap.length && isBefore(heap[right] as Event, heap[least] as Event))
        least = right;
      if (least === index) return;
      swap(index, least);
      index = least;
    }
  };
  const pop = (): Event | undefined => {
    const [first] = heap;
    const last = heap.pop();
    if (heap.length > 0 && last) {
      heap[0] = last;
      siftDown();
    }
    return first;
  };

  return {
    nowMs: () => nowMs,
    schedule: (atMs, run) => {
      order += 1;
      heap.push({ atMs, order, run });
      siftUp(heap.length - 1);
    },
    runUntil: async (untilMs) => {
      while (heap[0] && heap[0].atMs <= untilMs) {
        const event = pop() as Event;
        nowMs = event.atMs;
        event.run();
        for (let step = 0; step < MICROTASK_TURNS; step += 1) await Promise.resolve();
      }
      nowMs = untilMs;
    },
  };
};
