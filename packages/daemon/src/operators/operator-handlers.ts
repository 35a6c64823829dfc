/** All methods of the operators' API, by the name that the command line sends. */
import { configurationHandlers } from './configuration-handlers.js';
import { doubtHandlers } from './doubt-handlers.js';
import { explainHandlers } from './explain-handlers.js';
import { hostHandlers } from './host-handlers.js';
import { jobHandlers } from './job-handlers.js';
import { listHandlers } from './list-handlers.js';
import type { OperatorContext } from './operator-context.js';
import { waveHandlers } from './wave-handlers.js';

/**
 * Builds the handlers.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const createOperatorHandlers = (context: OperatorContext) => ({
  ...configurationHandlers(context),
  ...listHandlers(context),
  ...hostHandlers(context),
  ...jobHandlers(context),
  ...waveHandlers(context),
  ...explainHandlers(context),
  ...doubtHandlers(context),
});

/** The handlers, by method. */
export type OperatorHandlers = ReturnType<typeof createOperatorHandlers>;
