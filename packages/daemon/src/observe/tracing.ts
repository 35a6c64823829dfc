/** Traces: one span for each hop, with the context taken from and passed on in `traceparent`. */
import type { Log } from './log.js';
import type { Tracing, TracingSettings } from './trace-types.js';

const noTracing: Tracing = {
  startHop: (_, parent) => ({
    headers: parent.traceparent === undefined ? {} : { traceparent: parent.traceparent },
    end: () => undefined,
  }),
  close: async () => undefined,
};

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
