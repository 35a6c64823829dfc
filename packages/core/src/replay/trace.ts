/** Recorded traces: one JSON line per event, including the expected outcomes. */
import { Err, Ok, type Result } from 'ts-results-es';
import { z } from 'zod';

import { jobDeclarationSchema } from '../declarations/schema.js';

const at = { atS: z.number().min(0) };
const name = z.string().min(1);
const event = <Type extends string, Shape extends z.ZodRawShape>(type: Type, shape: Shape) =>
  z.strictObject({ type: z.literal(type), ...at, ...shape });

const expectation = event('expect', {
  /** The exact number of ready executors, by service. */
  ready: z.record(z.string(), z.number().int()).optional(),
  jobs: z.record(z.string(), z.enum(['pending', 'refused', 'done', 'cancelled'])).optional(),
  waves: z
    .record(z.string(), z.enum(['running', 'held', 'paused', 'done', 'cancelled']))
    .optional(),
  pools: z.record(z.string(), z.string()).optional(),
  phases: z.record(z.string(), z.string()).optional(),
  /** A text that the reason of at least one withheld action must contain. */
  withheld: z.string().optional(),
});

/** One line of a trace. */
export const traceEventSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('fleet'),
    /** Folders with declarations, relative to the folder of the trace. */
    declarations: z.array(name).min(1),
    rebootS: z.number().positive().default(60),
    startS: z.number().positive().default(1),
    /** True for a trace whose losses exceed what the availability budgets are sized for. */
    budgetsMayBreak: z.boolean().default(false),
  }),
  event('job-submit', { job: jobDeclarationSchema }),
  event('job-cancel', { job: name }),
  event('job-uses', { job: name, cores: z.number().min(0) }),
  event('host-kill', { hosts: z.array(name) }),
  event('host-revive', { hosts: z.array(name) }),
  event('host-fails-tasks', { hosts: z.array(name) }),
  event('host-leaving', { hosts: z.array(name) }),
  event('rack-kill', { rack: name }),
  event('data-centre-cut', { dataCentre: name }),
  event('data-centre-heal', { dataCentre: name }),
  event('platform-away', {}),
  event('platform-back', {}),
  event('wave-start', { wave: name, selector: z.string() }),
  event('wave-change', { wave: name, to: z.enum(['held', 'running', 'cancelled']) }),
  event('host-move', { host: name, toPool: name }),
  /** The control holder of a pool plans a turn and is paused before it writes. */
  event('control-paused', { pool: name }),
  event('control-taken', { pool: name }),
  event('control-woken', { pool: name }),
  expectation,
]);

export type TraceEvent = z.infer<typeof traceEventSchema>;
export type FleetEvent = Extract<TraceEvent, { type: 'fleet' }>;
export type TimedEvent = Exclude<TraceEvent, { type: 'fleet' }>;
export type Expectation = Extract<TraceEvent, { type: 'expect' }>;

/** A parsed trace. */
export type Trace = { readonly fleet: FleetEvent; readonly events: readonly TimedEvent[] };

/** A line that cannot be parsed, counted from 1, and the reason. */
export type TraceError = { readonly line: number; readonly reason: string };

const parseLine = (text: string, line: number): Result<TraceEvent, TraceError> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err({ line, reason: (error as Error).message });
  }
  const parsed = traceEventSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Err({ line, reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` });
};

const isTimed = (traceEvent: TraceEvent): traceEvent is TimedEvent => traceEvent.type !== 'fleet';

/**
 * Parses a trace.
 *
 * @param text - The lines; empty lines are skipped.
 * @returns The trace with its events sorted by time, or the first invalid line.
 */
export const parseTrace = (text: string): Result<Trace, TraceError> => {
  const events: TraceEvent[] = [];
  const lines = text.split('\n');
  for (let index = 0; index < lines.length; index += 1) {
    const line = lines[index] as string;
    if (line.trim() !== '') {
      const parsed = parseLine(line, index + 1);
      if (parsed.isErr()) return parsed;
      events.push(parsed.value);
    }
  }
  const [first] = events;
  if (first?.type !== 'fleet')
    return Err({ line: 1, reason: 'the first line must be of type fleet' });
  const timed = events.filter(isTimed).sort((a, b) => a.atS - b.atS);
  return Ok({ fleet: first, events: timed });
};
