/** What code that is traced, and what exports traces, have to agree on. */
import type { Settings } from '../settings/settings.js';

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

/** The settings that tracing depends on. */
export type TracingSettings = Pick<Settings, 'trace-exporter' | 'otlp-url'>;
