/* eslint-disable */
/** Checks of the rule LOST on what executors and clients have seen. */

/**
 * Finds steps whose turn had come for over 3 s while nothing of their job ran and less than half of the executors' capacity
 * was in use.
 *
 * @param options - The starts and ends that executors saw, the jobs with their steps, and from when to look.
 * @returns The steps, with how long each of them stood still.
 */
export const findStandingSteps = ({ starts, ends, jobs, stepsOf, totalCpu, fromMs, untilMs }) => {
  const cpuOf = (task) => {
    const [jobId, , step] = task.split('.');
    return stepsOf(jobId)?.[Number(step)]?.cpu ?? 0;
  };
  const changes = [
    ...starts.map(({ task, atMs }) => ({ atMs, by: cpuOf(task) })),
    ...ends.map(({ task, atMs }) => ({ atMs, by: -cpuOf(task) })),
  ].sort((left, right) => left.atMs - right.atMs);
  const mostUsedBetween = (beginMs, endMs) => {
    let used = 0;
    let most = 0;
    for (const { atMs, by } of changes) {
      if (atMs > endMs) break;
      if (atMs > beginMs) most = Math.max(most, used);
      used += by;
    }
    return Math.max(most, used);
  };
  return jobs.flatMap(({ jobId, acceptedAtMs }) =>
    stepsOf(jobId).flatMap((step, number) => {
      const before = step.after ?? [];
      const prefix = (index) => `${jobId}.0.${index}.`;
      const doneOf = (index) =>
        new Map(
          ends
            .filter(({ task, how }) => how === 'done' && task.startsWith(prefix(index)))
            .map((one) => [one.task, one.atMs]),
        );
      const doneBefore = before.map(doneOf);
      const isTurn = before.every(
        (index, at) => doneBefore[at].size === stepsOf(jobId)[index].count,
      );
      if (!isTurn) return [];
      const times = doneBefore.flatMap((done) => Array.from(done.values()));
      const turnAtMs = Math.max(acceptedAtMs, ...times);
      const firstStart = starts.find(({ task }) => task.startsWith(prefix(number)));
      const startedAtMs = firstStart?.atMs ?? untilMs;
      const stoodMs = startedAtMs - Math.max(turnAtMs, fromMs);
      if (stoodMs <= 3000) return [];
      const used = mostUsedBetween(Math.max(turnAtMs, fromMs), startedAtMs) / totalCpu;
      if (used >= 0.5) return [];
      return [
        { jobId, step: number, stoodMs: Math.round(stoodMs), used, started: Boolean(firstStart) },
      ];
    }),
  );
};
