/** Tracing: one span per hop. The trace context is received and propagated in `traceparent`. */
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
 * Sets up tracing. The tracing library is loaded only if spans are exported, because it takes several
 * megabytes of memory.
 *
 * @param settings - The exporter and its address.
 * @param log - The log that the `log` exporter writes to.
 * @returns The tracing; with the exporter `none` it only propagates the trace context.
 */
export const createTracing = async (settings: TracingSettings, log: Log): Promise<Tracing> => {
  const exporter = settings['trace-exporter'];
  if (exporter === 'none') return noTracing;
  const { createExportedTracing } = await import('./exported-tracing.js');
  return createExportedTracing(exporter, settings, log);
};
