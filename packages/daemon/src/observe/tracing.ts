/** Traces: one span for each hop of a request, with the context taken from and passed on in `traceparent`. */
import {
  context,
  propagation,
  SpanKind,
  SpanStatusCode,
  trace,
  type Span,
} from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import {
  BatchSpanProcessor,
  type ReadableSpan,
  SimpleSpanProcessor,
  type SpanExporter,
  type SpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import { NodeTracerProvider } from '@opentelemetry/sdk-trace-node';

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

const logExporter = (log: Log): SpanExporter => ({
  export: (spans: ReadableSpan[], done) => {
    spans.forEach((span) => {
      const { traceId, spanId } = span.spanContext();
      const [seconds, nanoseconds] = span.duration;
      log.info('span', {
        name: span.name,
        traceId,
        spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        durationUs: Math.round(seconds * 1e6 + nanoseconds / 1e3),
        ...(span.attributes as Record<string, string>),
      });
    });
    done({ code: 0 });
  },
  shutdown: async () => undefined,
});

type TracingSettings = Pick<Settings, 'trace-exporter' | 'otlp-url'>;

const processors: Record<
  Exclude<Settings['trace-exporter'], 'none'>,
  (settings: TracingSettings, log: Log) => SpanProcessor
> = {
  log: (_, log) => new SimpleSpanProcessor(logExporter(log)),
  otlp: (settings) => new BatchSpanProcessor(new OTLPTraceExporter({ url: settings['otlp-url'] })),
};

const endSpan =
  (span: Span): Hop['end'] =>
  ({ outcome, isError }) => {
    span.setAttribute('outcome', outcome);
    if (isError) span.setStatus({ code: SpanStatusCode.ERROR });
    span.end();
  };

/**
 * Sets up tracing.
 *
 * @param settings - The exporter and its address.
 * @param log - Where the `log` exporter writes.
 * @returns The way to start spans; without an exporter the context is only passed on.
 */
export const createTracing = (settings: TracingSettings, log: Log): Tracing => {
  const exporter = settings['trace-exporter'];
  if (exporter === 'none') return noTracing;
  const provider = new NodeTracerProvider({
    spanProcessors: [processors[exporter](settings, log)],
  });
  provider.register();
  const tracer = trace.getTracer('valvelatch');
  return {
    startHop: (name, parent, attributes) => {
      const outer = propagation.extract(context.active(), parent);
      const span = tracer.startSpan(name, { kind: SpanKind.CLIENT, attributes }, outer);
      const headers: TraceHeaders = {};
      propagation.inject(trace.setSpan(outer, span), headers);
      return { headers, end: endSpan(span) };
    },
    close: () => provider.shutdown(),
  };
};
