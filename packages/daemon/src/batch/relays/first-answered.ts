/** One call over several routes, of which the first answer counts. */
import type { PlatformError } from '@valvelatch/platform';
import { Err, type Result } from 'ts-results-es';

export type AnyResult = Result<unknown, PlatformError>;

/**
 * Tells whether the platform has answered a call.
 *
 * @param result - What became of the call.
 * @returns True also where the answer refuses the call for good.
 */
export const isAnswered = (result: AnyResult): boolean =>
  result.isOk() || result.error.kind === 'rejected';

/** Of two failures, one whose call may have been carried out decides. */
const join = (first: AnyResult, second: AnyResult): AnyResult => {
  if (isAnswered(second) || first.isOk() || second.isOk()) return second;
  const isUnknown = first.error.kind === 'unknown' || second.error.kind === 'unknown';
  return Err({
    kind: isUnknown ? 'unknown' : 'unreachable',
    detail: `${first.error.detail}; ${second.error.detail}`,
  });
};

/**
 * Makes several tries at one call and takes the first answer. The next try begins once the one
 * before has failed, or has had its time.
 *
 * @param tries - The calls in their order; they must be safe to make twice.
 * @param staggerMs - How long each has before the next one begins beside it.
 * @returns The first answer, or what the failures together say.
 */
export const firstAnswered = (
  tries: readonly (() => Promise<AnyResult>)[],
  staggerMs: number,
): Promise<AnyResult> =>
  new Promise((resolve) => {
    let begun = 0;
    let pending = 0;
    let isDone = false;
    let failed: AnyResult | undefined;
    let timer: NodeJS.Timeout | undefined;

    const settle = (result: AnyResult): void => {
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    };

    const begin = (): void => {
      clearTimeout(timer);
      const call = tries[begun];
      if (!call || isDone) return;
      begun += 1;
      pending += 1;
      timer = setTimeout(begin, staggerMs);
      void call().then((result) => {
        pending -= 1;
        if (isDone) return;
        failed = failed ? join(failed, result) : result;
        if (isAnswered(result)) settle(result);
        else if (begun < tries.length) begin();
        else if (pending === 0) settle(failed);
      });
    };
    begin();
  });
