/** The daemon's entry as a library; the daemon process is a thin wrapper around it. */
export * from './entry/entry.js';
export * from './settings/settings.js';
export * from './data-path/service-admission.js';
