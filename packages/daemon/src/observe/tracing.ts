/** Traces: one span for each hop, with the context taken from and passed on in `traceparent`. */
import type { Settings } from '../settings/settings.js';
import type { Log } from './log.js';

/** Headers that carry the context of a trace. */
export type TraceHeaders = { traceparent?: string };

/** One hop under way. */
export type Hop = {
  /** The headers to send on to the next hop. */
  readonly headers: TraceHeaders;
  readonly end: (fields: { readonly outcome: string; readonly isError: boolean }) => void;
};

/** Starts spans. */
export type Tracing = {
  readonly startHop: (name: string, parent: TraceHeaders, fields: Record<string, string>) => Hop;
  readonly close: () => Promise<void>;
};

const noTracing: Tracing = {
  startHop: (_, parent) => ({
    headers: parent.traceparent === undefined ? {} : { traceparent: parent.traceparent },
    end: () => undefined,
  }),
  close: async () => undefined,
};

/** The settings that tracing depends on. */
export type TracingSettings = Pick<Settings, 'trace-exporter' | 'otlp-url'>;

/**
 * Sets up tracing. The tracing library is loaded only where spans are exported: it holds several
 * megabytes.
 *
 * @param settings - The exporter and its address.
 * @param log - Where the `log` exporter writes.
 * @returns The way to start spans; without an exporter the context is only passed on.
 */
export const createTracing = async (settings: TracingSettings, log: Log): Promise<Tracing> => {
  const exporter = settings['trace-exporter'];
  if (exporter === 'none') return noTracing;
  const { createExportedTracing } = await import('./exported-tracing.js');
  return createExportedTracing(exporter, settings, log);
};
