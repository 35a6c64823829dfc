/**
 * The calls of a simulated holder's process. The outcome of each call is given, and faults may pause the process or cut its
 * calls off for a time.
 */
import type { OrderError } from '@valvelatch/core/batch';
import { Err, type Result } from 'ts-results-es';

import { NO_ANSWER, refusedOrder } from './order-errors.fixtures.js';
import { neverSettle, sleep } from './sim-platform.fixtures.js';

/** The outcome of one call: what is lost or delayed. */
export type CallOutcome = {
  readonly kind: 'carried' | 'request-lost' | 'answer-lost' | 'carried-late';
  /** How long the request is in flight. */
  readonly requestMs: number;
  /** How long the answer is in flight. */
  readonly answerMs: number;
  /** How long after its arrival a 'carried-late' request is carried out. */
  readonly executionDelayMs: number;
};

/** The outcome of a call that is carried out and answered without delay. */
export const PROMPT_OUTCOME: CallOutcome = {
  kind: 'carried',
  requestMs: 1,
  answerMs: 1,
  executionDelayMs: 0,
};

/** A period in which one fault is present. */
export type FaultPeriod = {
  /**
   * `freeze`: the holder's process is paused, sends nothing and handles nothing that it receives. `cut`: calls to the
   * endpoint are not answered. `refuse`: connections to the endpoint are refused. `table`: the control lease is not
   * renewed.
   */
  readonly kind: 'freeze' | 'cut' | 'refuse' | 'table';
  /** When it begins, in ms after the creation of the holder. */
  readonly atMs: number;
  readonly durationMs: number;
};

/** An order as it was sent to the endpoint. */
export type SentOrder = {
  readonly kind: 'list' | 'start' | 'stop';
  readonly sentAtMs: number;
  /** The end of the endpoint's lease that the order asks for, on the endpoint's clock; undefined if it asks for none. */
  readonly keepUntilMs: number | undefined;
  /** The number of the last run end that the order acknowledges; 0 for none. */
  readonly acknowledged: number;
};

export type FaultyCallsOptions = {
  /** The outcomes of the calls in order; starts again with the first after the last. */
  readonly outcomes: readonly CallOutcome[];
  readonly faults: readonly FaultPeriod[];
  /** True once the simulation is closed: calls that are made or answered later never settle. */
  readonly isClosed: () => boolean;
};

/**
 * Creates the calls of a holder.
 *
 * @param options - The outcomes and the faults, whose times count from now.
 * @returns The orders that were sent, and the functions that send them and test for faults.
 */
export const createFaultyCalls = ({
  outcomes: firstOutcomes,
  faults: plannedFaults,
  isClosed,
}: FaultyCallsOptions) => {
  const nowMs = (): number => performance.now();
  const startedAtMs = nowMs();
  const sent: SentOrder[] = [];
  const faults: FaultPeriod[] = plannedFaults.map((one) => ({
    ...one,
    atMs: startedAtMs + one.atMs,
  }));
  let outcomes = firstOutcomes;
  let playsOnce = false;
  let callCount = 0;

  const hasFault = (kind: FaultPeriod['kind']): boolean =>
    faults.some(
      (one) => one.kind === kind && nowMs() >= one.atMs && nowMs() < one.atMs + one.durationMs,
    );

  /** Resolves once the holder's process runs: a paused one sends and handles nothing. Never resolves after `close`. */
  const awake = async (): Promise<void> => {
    while (hasFault('freeze')) await sleep(7);
    if (isClosed()) await neverSettle();
  };

  const nextOutcome = (): CallOutcome => {
    const outcome = outcomes[playsOnce ? callCount : callCount % outcomes.length] ?? PROMPT_OUTCOME;
    callCount += 1;
    return outcome;
  };

  const call = async <Answer>(
    order: Omit<SentOrder, 'sentAtMs'>,
    act: () => Promise<Result<Answer, OrderError>> | Result<Answer, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Answer, OrderError>> => {
    sent.push({ ...order, sentAtMs: nowMs() });
    await awake();
    const { kind, requestMs, answerMs, executionDelayMs } = nextOutcome();
    const deliver = async (): Promise<Result<Answer, OrderError>> => {
      // At least 1 ms: if refusals took no time, each would lead to the next start at once, in an endless loop.
      await sleep(Math.max(1, requestMs));
      if (hasFault('refuse')) return Err(refusedOrder('unreachable'));
      if (kind === 'request-lost' || hasFault('cut')) return neverSettle();
      if (kind === 'carried-late') {
        setTimeout(act, executionDelayMs);
        return neverSettle();
      }
      const answer = await act();
      await sleep(answerMs);
      return kind === 'answer-lost' || hasFault('cut') ? neverSettle() : answer;
    };
    const answer = await Promise.race([deliver(), sleep(timeoutMs).then(() => Err(NO_ANSWER))]);
    await awake();
    return answer;
  };

  /** Sets the outcomes of the next calls in order; calls after them are carried out without delay. */
  const setNextOutcomes = (next: readonly CallOutcome[]): void => {
    outcomes = next;
    callCount = 0;
    playsOnce = true;
  };

  /** Adds a fault that begins now. */
  const addFault = (kind: FaultPeriod['kind'], durationMs: number): void => {
    faults.push({ kind, atMs: nowMs(), durationMs });
  };

  return { sent, hasFault, awake, call, setNextOutcomes, addFault };
};
