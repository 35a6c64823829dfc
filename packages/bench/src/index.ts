/** The benchmarks, for those who want their rows. */
export * from './data-path/data-path.js';
export * from './report.js';
