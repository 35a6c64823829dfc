/** Types shared by traced code and by the trace exporters. */
import type { Settings } from '../settings/settings.js';

/** Headers that carry the trace context. */
export type TraceHeaders = { traceparent?: string };

/** A hop in flight. */
export type Hop = {
  /** The headers to send to the next hop. */
  readonly headers: TraceHeaders;
  readonly end: (fields: { readonly outcome: string; readonly isError: boolean }) => void;
};

/** Starts spans. */
export type Tracing = {
  readonly startHop: (name: string, parent: TraceHeaders, fields: Record<string, string>) => Hop;
  readonly close: () => Promise<void>;
};

/** The settings that tracing depends on. */
export type TracingSettings = Pick<Settings, 'trace-exporter' | 'otlp-url'>;
