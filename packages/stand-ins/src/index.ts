/** Stand-ins for the services around the entries, for tests, benchmarks and the quickstart. */
export * from './executor.js';
export * from './platform.js';
export * from './relay.js';
export * from './workers.js';
export * from './processes.js';
export * from './example-deployment.js';
export * from './users-platform/users-platform.js';
