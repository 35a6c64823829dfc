/** A stand-in for one executor of the users' platform: an HTTP server around a simulated endpoint. */
import {
  createSimulatedEndpoint,
  type SimulatedEndpoint,
  type SimulatedEndpointOptions,
  type OrderError,
  type TaskKey,
} from '@valvelatch/core/batch';
import fastify, { type FastifyReply } from 'fastify';
import type { Result } from 'ts-results-es';

/** A running executor. */
export type StandInExecutor = {
  readonly model: SimulatedEndpoint;
  readonly address: string;
  readonly close: () => Promise<void>;
};

const WRONG_INSTANCE_STATUS = 421;
const REFUSED_STATUS = 409;

type OrderBody = {
  readonly task: TaskKey;
  readonly run: number;
  readonly spec?: string;
  readonly untilMs?: number;
  readonly fence?: number;
  readonly checkpoint?: string;
  readonly ticket?: string;
};

const send = async <Value>(
  result: Result<Value, OrderError>,
  reply: FastifyReply,
): Promise<unknown> => {
  if (result.isOk()) return result.value;
  await reply.code(REFUSED_STATUS).send({ clockMs: 0, reason: result.error.reason });
  return reply;
};

/**
 * Starts an executor.
 *
 * @param options - The ids, the capacity and the clock of its endpoint.
 * @returns The running executor.
 */
export const startExecutor = async (
  options: SimulatedEndpointOptions,
): Promise<StandInExecutor> => {
  const model = createSimulatedEndpoint(options);
  const server = fastify();

  server.addHook('onRequest', async ({ headers }, reply) => {
    const expected = headers['x-expected-instance'];
    if (expected !== model.instanceId) await reply.code(WRONG_INSTANCE_STATUS).send();
  });
  server.post<{ Body: OrderBody }>('/-/run-start', async ({ body }, reply) => {
    const { task, run, spec = '', untilMs = 0, fence = 0, checkpoint = '', ticket = '' } = body;
    const order = { task, run, spec, keepUntilMs: untilMs, fence, checkpoint, ticket };
    return send(model.start(order), reply);
  });
  server.post<{ Body: OrderBody }>('/-/run-stop', async ({ body }, reply) =>
    send(model.stop({ task: body.task, run: body.run, fence: body.fence ?? 0 }), reply),
  );
  server.post<{
    Body: { fence?: number; lastSeen?: number; untilMs?: number; waitMs?: number };
  }>('/-/hold', async ({ body }, reply) => {
    const { fence = 0, lastSeen = 0, untilMs, waitMs = 0 } = body;
    const keep = untilMs === undefined ? {} : { keepUntilMs: untilMs };
    const reports = await model.list({ fence, acknowledged: lastSeen, waitMs, ...keep });
    const response = reports.map(({ clockMs, running, ended }) => ({
      clockMs,
      born: model.startedAtMs,
      running: running.map((one) => [one.task, one.run, one.checkpoint, one.percent, one.figure]),
      ended: ended.map((one) => [one.number, one.task, one.run, one.kind, one.checkpoint]),
    }));
    return send(response, reply);
  });

  const url = await server.listen({ host: '127.0.0.1', port: 0 });
  return {
    model,
    address: url.replace('http://', ''),
    close: async () => {
      model.crash();
      server.server.closeAllConnections();
      await server.close();
    },
  };
};
