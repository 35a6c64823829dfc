/** The exports of the command line package that scripts use. */
export * from './files.js';
export * from './output.js';
