/** Tracing with the OpenTelemetry library, for entries that export their spans. */
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
import type { Hop, TraceHeaders, Tracing, TracingSettings } from './trace-types.js';

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
 * Sets up tracing with an exporter.
 *
 * @param exporter - The exporter that spans are sent to.
 * @param settings - The settings that hold the address of the `otlp` exporter.
 * @param log - The log that the `log` exporter writes to.
 * @returns The tracing.
 */
export const createExportedTracing = (
  exporter: Exclude<Settings['trace-exporter'], 'none'>,
  settings: TracingSettings,
  log: Log,
): Tracing => {
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
