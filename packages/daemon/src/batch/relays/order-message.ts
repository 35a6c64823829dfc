/** Orders as entries pass them on, and their answers: rows without field names, one message each. */
import type {
  RunEndKind,
  EndpointClock,
  EndpointReport,
  ListOrder,
  OrderError,
  OrderRefusal,
  StartOrder,
  StopOrder,
  TaskKey,
} from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Err, Ok, type Result } from 'ts-results-es';

import type { OrderTarget } from '../ports.js';

/** A start without the text of its job, which goes once to each relay. */
export type CarriedStart = Omit<StartOrder, 'spec'> & { readonly spec: string | null };

/** An order that another entry is to send. */
export type CarriedOrder = { readonly target: OrderTarget; readonly timeoutMs: number } & (
  | { readonly kind: 'list'; readonly order: ListOrder }
  | { readonly kind: 'start'; readonly order: CarriedStart }
  | { readonly kind: 'stop'; readonly order: StopOrder }
);

/** What a list answers. */
export type ListAnswer = EndpointClock & Pick<EndpointReport, 'running' | 'ended' | 'hasMoreEnds'>;

/** Each kind's letter and fields, in the order of the row. */
const KIND = { list: 'l', start: 's', stop: 'x' } as const;

type Row = readonly unknown[];

const orderRow = {
  list: ({ fence, acknowledged, waitMs, keepUntilMs }: ListOrder): Row => [
    fence,
    acknowledged,
    waitMs,
    keepUntilMs ?? null,
  ],
  start: ({ fence, task, run, keepUntilMs, checkpoint, ticket, spec }: CarriedStart): Row => [
    fence,
    task,
    run,
    keepUntilMs,
    checkpoint,
    ticket,
    spec,
  ],
  stop: ({ fence, task, run }: StopOrder): Row => [fence, task, run],
} as const;

/**
 * Encodes an order.
 *
 * @param carried - The order.
 * @returns A row.
 */
export const encodeOrder = (carried: CarriedOrder): Row => {
  const { kind, target, timeoutMs, order } = carried;
  const { endpointId, address, dataCentre } = target;
  const toRow = orderRow[kind] as (one: CarriedOrder['order']) => Row;
  return [KIND[kind], endpointId, address, dataCentre, Math.round(timeoutMs), ...toRow(order)];
};

const decoders: Readonly<Record<string, (row: Row) => Pick<CarriedOrder, 'kind' | 'order'>>> = {
  [KIND.list]: ([fence, acknowledged, waitMs, keepUntilMs]) => ({
    kind: 'list',
    order: {
      fence: fence as number,
      acknowledged: acknowledged as number,
      waitMs: waitMs as number,
      ...(keepUntilMs === null ? {} : { keepUntilMs: keepUntilMs as number }),
    },
  }),
  [KIND.start]: ([fence, task, run, keepUntilMs, checkpoint, ticket, spec]) => ({
    kind: 'start',
    order: {
      fence: fence as number,
      task: task as TaskKey,
      run: run as number,
      keepUntilMs: keepUntilMs as number,
      checkpoint: checkpoint as string,
      ticket: ticket as string,
      spec: spec as string | null,
    },
  }),
  [KIND.stop]: ([fence, task, run]) => ({
    kind: 'stop',
    order: { fence: fence as number, task: task as TaskKey, run: run as number },
  }),
};

/**
 * Decodes an order.
 *
 * @param payload - What came in.
 * @returns The order; undefined for what is none.
 */
export const decodeOrder = (payload: unknown): CarriedOrder | undefined => {
  if (!Array.isArray(payload)) return undefined;
  const [letter, endpointId, address, dataCentre, timeoutMs, ...row] = payload as Row;
  const decode = decoders[String(letter)];
  if (!decode) return undefined;
  const target = {
    endpointId: brand(String(endpointId)),
    address: String(address),
    dataCentre: String(dataCentre),
  } as OrderTarget;
  return { target, timeoutMs: Number(timeoutMs), ...decode(row) } as CarriedOrder;
};

/** The relay does not have the text of the job. */
export const SPEC_MISSING = 'spec-missing';

const SHORT: Readonly<Record<RunEndKind, number>> = {
  done: 0,
  failed: 1,
  stopped: 2,
  lapsed: 3,
  broken: 4,
  alone: 5,
};
const KINDS = Object.keys(SHORT) as readonly RunEndKind[];

/**
 * Encodes an answer.
 *
 * @param result - What the endpoint answered, or how the order failed.
 * @returns A row.
 */
export const encodeAnswer = (result: Result<EndpointClock | ListAnswer, OrderError>): Row => {
  if (result.isErr()) {
    const { verdict, reason, detail } = result.error;
    return [0, verdict === 'notRun', reason, detail];
  }
  const { clockMs } = result.value;
  if (!('running' in result.value)) return [1, clockMs];
  const { running, ended, hasMoreEnds } = result.value;
  return [
    1,
    clockMs,
    running.map(({ task, run, checkpoint, percent, figure }) => [
      task,
      run,
      checkpoint,
      percent,
      figure,
    ]),
    ended.map(({ number, task, run, kind, checkpoint }) => [
      number,
      task,
      run,
      SHORT[kind],
      checkpoint,
    ]),
    hasMoreEnds,
  ];
};

type RunRow = readonly [TaskKey, number, string, number, number];
type EndRow = readonly [number, TaskKey, number, number, string];

/**
 * Decodes an answer.
 *
 * @param payload - What came in.
 * @returns The endpoint's answer; lists are empty in the answer to a start or a stop.
 */
export const decodeAnswer = (payload: unknown): Result<ListAnswer, OrderError> => {
  const [isOk, ...row] = payload as Row;
  if (isOk !== 1) {
    const [isNotRun, reason, detail] = row as unknown as readonly [boolean, OrderRefusal, string];
    return Err({ verdict: isNotRun ? 'notRun' : 'mayHaveRun', reason, detail });
  }
  const [clockMs, running = [], ended = [], hasMoreEnds = false] = row as unknown as readonly [
    number,
    (readonly RunRow[])?,
    (readonly EndRow[])?,
    boolean?,
  ];
  return Ok({
    clockMs,
    running: running.map(([task, run, checkpoint, percent, figure]) => ({
      task,
      run,
      checkpoint,
      percent,
      figure,
    })),
    ended: ended.map(([number, task, run, kind, checkpoint]) => ({
      number,
      task,
      run,
      kind: KINDS[kind] ?? 'failed',
      checkpoint,
    })),
    hasMoreEnds,
  });
};
