/** Benchmarks that other packages run to get the rows of their results. */
export * from './data-path/data-path.js';
export * from './report.js';
