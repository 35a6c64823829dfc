/** The exports of the command line package that scripts use. */
export * from './declaration-files.js';
export * from './output.js';
