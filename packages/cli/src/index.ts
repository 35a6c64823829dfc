/** The parts of the command line that scripts use. */
export * from './files.js';
export * from './output.js';
