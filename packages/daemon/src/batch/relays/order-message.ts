/**
 * The mesh messages of relayed orders and their answers. Each is one message: an array of values in a fixed order, without
 * field names.
 */
import type {
  RunEndKind,
  EndpointClock,
  EndpointLists,
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

/** A start order. `spec` is the job's spec, or null if the relay has received it with an earlier start of the job. */
export type RelayedStart = Omit<StartOrder, 'spec'> & { readonly spec: string | null };

/** The clock of a relay, which tells the lives of its process apart. */
export type RelayClockReading = {
  /** A random number that each process draws at its start. */
  readonly incarnation: number;
  /** The relay's monotonic clock, in milliseconds. */
  readonly clockMs: number;
};

/** Until when a relay may send an order: a time on its own clock, in one life of its process. */
export type OrderDeadline = { readonly incarnation: number; readonly untilMs: number };

/** An order that another entry is to send to its endpoint. */
export type RelayedOrder = {
  readonly target: OrderTarget;
  readonly timeoutMs: number;
  readonly deadline: OrderDeadline;
} & (
  | { readonly kind: 'list'; readonly order: ListOrder }
  | { readonly kind: 'start'; readonly order: RelayedStart }
  | { readonly kind: 'stop'; readonly order: StopOrder }
);

/** An endpoint's answer to a list order. */
export type ListAnswer = EndpointClock & EndpointLists;

/** The letter that stands for each kind of order in a message. */
const KIND_CODE = { list: 'l', start: 's', stop: 'x' } as const;

/** A message, or the part of it that holds an order's own fields. */
type Row = readonly unknown[];

/** Encode the fields of each kind of order, in the order of the message. */
const orderEncoders = {
  list: ({ fence, acknowledged, waitMs, keepUntilMs }: ListOrder): Row => [
    fence,
    acknowledged,
    waitMs,
    keepUntilMs ?? null,
  ],
  start: ({ fence, task, run, keepUntilMs, checkpoint, ticket, spec }: RelayedStart): Row => [
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
 * @returns The message.
 */
export const encodeOrder = (carried: RelayedOrder): Row => {
  const { kind, target, timeoutMs, deadline, order } = carried;
  const { endpointId, address, dataCentre } = target;
  const encodeFields = orderEncoders[kind] as (one: RelayedOrder['order']) => Row;
  return [
    KIND_CODE[kind],
    endpointId,
    address,
    dataCentre,
    Math.round(timeoutMs),
    deadline.incarnation,
    deadline.untilMs,
    ...encodeFields(order),
  ];
};

const decoders: Readonly<Record<string, (row: Row) => Pick<RelayedOrder, 'kind' | 'order'>>> = {
  [KIND_CODE.list]: ([fence, acknowledged, waitMs, keepUntilMs]) => ({
    kind: 'list',
    order: {
      fence: fence as number,
      acknowledged: acknowledged as number,
      waitMs: waitMs as number,
      ...(keepUntilMs === null ? {} : { keepUntilMs: keepUntilMs as number }),
    },
  }),
  [KIND_CODE.start]: ([fence, task, run, keepUntilMs, checkpoint, ticket, spec]) => ({
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
  [KIND_CODE.stop]: ([fence, task, run]) => ({
    kind: 'stop',
    order: { fence: fence as number, task: task as TaskKey, run: run as number },
  }),
};

/**
 * Decodes an order.
 *
 * @param payload - The received message.
 * @returns The order; undefined if the message is not an order.
 */
export const decodeOrder = (payload: unknown): RelayedOrder | undefined => {
  if (!Array.isArray(payload)) return undefined;
  const [kindCode, endpointId, address, dataCentre, timeoutMs, incarnation, untilMs, ...row] =
    payload as Row;
  const decodeFields = decoders[String(kindCode)];
  if (!decodeFields) return undefined;
  const target = {
    endpointId: brand(String(endpointId)),
    address: String(address),
    dataCentre: String(dataCentre),
  } as OrderTarget;
  const deadline = { incarnation: Number(incarnation), untilMs: Number(untilMs) };
  return { target, timeoutMs: Number(timeoutMs), deadline, ...decodeFields(row) } as RelayedOrder;
};

/**
 * Encodes a relay's clock.
 *
 * @param reading - The clock.
 * @returns The message; also the beginning of each answer to an order.
 */
export const encodeRelayClock = ({ incarnation, clockMs }: RelayClockReading): Row => [
  incarnation,
  clockMs,
];

/**
 * Decodes a relay's clock.
 *
 * @param payload - The received message.
 * @returns The clock; undefined if the message holds none, as from a build that does not relay orders with deadlines.
 */
export const decodeRelayClock = (payload: unknown): RelayClockReading | undefined => {
  if (!Array.isArray(payload)) return undefined;
  const [incarnation, clockMs] = payload as Row;
  if (!Number.isSafeInteger(incarnation) || !Number.isFinite(clockMs)) return undefined;
  return { incarnation: incarnation as number, clockMs: clockMs as number };
};

/** A relay's answer to an order: its clock, and the encoded answer or `SPEC_MISSING`. */
export type RelayReply = { readonly clock: RelayClockReading; readonly answer: unknown };

/**
 * Encodes a relay's answer to an order.
 *
 * @param reply - The clock and the answer.
 * @returns The message.
 */
export const encodeReply = ({ clock, answer }: RelayReply): Row => [
  ...encodeRelayClock(clock),
  answer,
];

/**
 * Decodes a relay's answer to an order.
 *
 * @param payload - The received message.
 * @returns The clock and the answer; undefined if the message is none.
 */
export const decodeReply = (payload: unknown): RelayReply | undefined => {
  const clock = decodeRelayClock(payload);
  return clock && { clock, answer: (payload as Row)[2] };
};

/** The answer to a start without a spec if the relay does not have the job's spec. */
export const SPEC_MISSING = 'spec-missing';

/** The kinds of ends in a message; each is encoded as its index. */
const END_KINDS = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'] as const;
/** Holders of earlier builds read a code that they do not know as `failed`, so `unknown` has none of its own. */
const UNKNOWN_END_CODE = END_KINDS.indexOf('stopped');

const toEndCode = (kind: RunEndKind): number =>
  kind === 'unknown' ? UNKNOWN_END_CODE : END_KINDS.indexOf(kind);

const toEndKind = (code: unknown): RunEndKind =>
  (typeof code === 'number' ? END_KINDS[code] : undefined) ?? 'unknown';

/**
 * Encodes an answer.
 *
 * @param result - The endpoint's answer, or the error of the order.
 * @returns The message.
 */
export const encodeAnswer = (result: Result<EndpointClock | ListAnswer, OrderError>): Row => {
  if (result.isErr()) {
    const { verdict, reason, detail } = result.error;
    return [0, verdict === 'notRun', reason, detail];
  }
  const { clockMs } = result.value;
  if (!('running' in result.value)) return [1, clockMs];
  const { running, ended, hasMoreEnds, hasUnreadableRows = false } = result.value;
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
      toEndCode(kind),
      checkpoint,
    ]),
    hasMoreEnds,
    ...(hasUnreadableRows ? [hasUnreadableRows] : []),
  ];
};

type RunRow = readonly [TaskKey, number, string, number, number];
type EndRow = readonly [number, TaskKey, number, unknown, string];

/**
 * Decodes an answer.
 *
 * @param payload - The received message.
 * @returns The endpoint's answer, or the error of the order. The lists are empty in the answer to a start or a stop.
 */
export const decodeAnswer = (payload: unknown): Result<ListAnswer, OrderError> => {
  const [isOk, ...row] = payload as Row;
  if (isOk !== 1) {
    const [isNotRun, reason, detail] = row as unknown as readonly [boolean, OrderRefusal, string];
    return Err({ verdict: isNotRun ? 'notRun' : 'mayHaveRun', reason, detail });
  }
  const [clockMs, running = [], ended = [], hasMoreEnds = false, isUnreadable] =
    row as unknown as readonly [
      number,
      (readonly RunRow[])?,
      (readonly EndRow[])?,
      boolean?,
      boolean?,
    ];
  // Relays of earlier builds do not tell why a list is incomplete. One without ended runs has room for all of them.
  const hasUnreadableRows = isUnreadable ?? (hasMoreEnds && ended.length === 0);
  return Ok({
    clockMs,
    running: running.map(([task, run, checkpoint, percent, figure]) => ({
      task,
      run,
      checkpoint,
      percent,
      figure,
    })),
    ended: ended.map(([number, task, run, code, checkpoint]) => ({
      number,
      task,
      run,
      kind: toEndKind(code),
      checkpoint,
    })),
    hasMoreEnds,
    ...(hasUnreadableRows ? { hasUnreadableRows } : {}),
  });
};
