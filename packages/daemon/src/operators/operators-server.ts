/** The HTTP server for operators. Every request needs the operator key. */
import { createHash, timingSafeEqual } from 'node:crypto';

import fastify, { type FastifyInstance } from 'fastify';

import type { Metrics } from '../observe/metrics.js';
import type { OperatorHandlers } from './operator-handlers.js';
import type { OperatorResult } from './operator-result.js';

export type OperatorsServerOptions = {
  readonly operatorKey: string;
  readonly handlers: OperatorHandlers;
  readonly metrics: Metrics;
  /** Called before the metrics are formatted, to update gauges. */
  readonly beforeMetrics: () => void;
  /** Called when a handler throws; the request is answered with status 500. */
  readonly onHandlerError: (method: string, detail: string) => void;
};

const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const INTERNAL_SERVER_ERROR = 500;
const MAX_BODY_BYTES = 64 * 1024 * 1024;

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const statusOf: Record<OperatorResult['kind'], number> = {
  ok: 200,
  invalid: 422,
  conflict: 409,
  'not-found': 404,
  unavailable: 503,
};

/**
 * Builds the server without listening.
 *
 * @param options - The operator key, the handlers by method, the metrics and the callbacks.
 * @returns The server.
 */
export const createOperatorsServer = ({
  operatorKey,
  handlers,
  metrics,
  beforeMetrics,
  onHandlerError,
}: OperatorsServerOptions): FastifyInstance => {
  const app = fastify({ bodyLimit: MAX_BODY_BYTES });
  const expectedDigest = digest(`Bearer ${operatorKey}`);

  app.addHook('onRequest', async (request, reply) => {
    const givenDigest = digest(request.headers.authorization ?? '');
    if (timingSafeEqual(givenDigest, expectedDigest)) return undefined;
    return reply
      .code(UNAUTHORIZED)
      .send({ kind: 'unauthorized', detail: 'the operator key is missing or wrong' });
  });

  app.get('/metrics', (_, reply) => {
    beforeMetrics();
    return reply.type('text/plain; version=0.0.4').send(metrics.text());
  });

  app.post<{ Params: { method: string } }>('/v1/:method', async (request, reply) => {
    const { method } = request.params;
    if (!Object.hasOwn(handlers, method)) {
      return reply.code(NOT_FOUND).send({ kind: 'not-found', detail: `no method '${method}'` });
    }
    try {
      const result = await handlers[method as keyof OperatorHandlers](request.body ?? {});
      return await reply.code(statusOf[result.kind]).send(result);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      onHandlerError(method, detail);
      return reply.code(INTERNAL_SERVER_ERROR).send({ kind: 'fault', detail });
    }
  });
  return app;
};
