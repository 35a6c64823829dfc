/** Counters, gauges and histograms, and their text format for a scraper. */
import * as hdr from 'hdr-histogram-js';

/** The metrics of one process. */
export type Metrics = {
  /** Increments a counter; `more` is the increment, 1 by default. */
  readonly count: (name: string, more?: number) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number) => void;
  /** Records a duration in microseconds; it is clamped to the range of the histogram. */
  readonly time: (name: string, microseconds: number) => void;
  /** Returns all metrics in the text format. */
  readonly text: () => string;
};

const QUANTILES = [50, 90, 99, 99.9];
const MAX_TRACKED_US = 600_000_000;

const histogramLines = (name: string, histogram: hdr.Histogram): readonly string[] => [
  ...QUANTILES.map(
    (quantile) =>
      `valvelatch_${name}_us{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`,
  ),
  `valvelatch_${name}_us_count ${histogram.totalCount}`,
];

/**
 * Builds an empty set of metrics.
 *
 * @returns The metrics.
 */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, number>();
  const gauges = new Map<string, number>();
  const histograms = new Map<string, hdr.Histogram>();

  const histogramOf = (name: string): hdr.Histogram => {
    const known = histograms.get(name);
    if (known) return known;
    const built = hdr.build({
      highestTrackableValue: MAX_TRACKED_US,
      numberOfSignificantValueDigits: 2,
    });
    histograms.set(name, built);
    return built;
  };

  const text = (): string => {
    const lines = [
      ...Array.from(counters, ([name, value]) => `valvelatch_${name}_total ${value}`),
      ...Array.from(gauges, ([name, value]) => `valvelatch_${name} ${value}`),
      ...Array.from(histograms).flatMap(([name, histogram]) => histogramLines(name, histogram)),
    ];
    return `${lines.join('\n')}\n`;
  };

  return {
    count: (name, more = 1) => counters.set(name, (counters.get(name) ?? 0) + more),
    gauge: (name, value) => gauges.set(name, value),
    time: (name, microseconds) => {
      histogramOf(name).recordValue(
        Math.min(MAX_TRACKED_US, Math.max(1, Math.round(microseconds))),
      );
    },
    text,
  };
};
