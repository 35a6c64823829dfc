/** An entry as a library: the daemon is a thin process around it. */
export * from './entry/entry.js';
export * from './settings/settings.js';
export * from './data-path/service-gate.js';
