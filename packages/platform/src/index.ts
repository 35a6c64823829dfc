/** Clients of the platform services: table, object store, host list and workers. */
export * from './batched-reads.js';
export * from './group-commit.js';
export * from './http-json.js';
export * from './platform-clients.js';
export * from './platform-error.js';
export * from './control-change-marker.js';
export * from './table-client.js';
