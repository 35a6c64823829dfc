/** A stand-in executor: an HTTP server with a limited number of slots, and faults on demand. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';

/** How an executor misbehaves. */
export type ExecutorFault =
  | 'none'
  | 'fail-fast'
  | 'not-run'
  | 'slow'
  | 'half-answer'
  | 'reset-before'
  | 'reset-after'
  | 'wrong-answer'
  | 'hang';

export type ExecutorOptions = {
  readonly name: string;
  readonly slots: number;
  readonly host?: string;
  /** How long a request takes that does not set the header `x-work-ms`. */
  readonly workMs?: number;
};

/** A running executor. */
export type StandInExecutor = {
  readonly address: string;
  readonly stats: {
    inFlight: number;
    maxInFlight: number;
    served: number;
    overSlots: number;
  };
  /** How often each idempotency key was executed. */
  readonly executions: ReadonlyMap<string, number>;
  readonly setFault: (fault: ExecutorFault) => void;
  /** Refuses all further requests with the header `valvelatch-leaving`. */
  readonly startDraining: () => void;
  /** Closes the executor and returns the number of requests that were in flight. */
  readonly close: () => Promise<number>;
};

/** A request with its response, as the faults handle it. */
type Exchange = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly workMs: number;
  /** Sends the normal response. */
  readonly answer: () => void;
};

const SLOW_FACTOR = 20;

const pause = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  // eslint-disable-next-line no-restricted-syntax -- a stream is read chunk by chunk
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

const workThenAnswer = async ({ workMs, answer }: Exchange) => {
  if (workMs > 0) await pause(workMs);
  answer();
};

/** How each fault handles a request. */
const faults: Record<ExecutorFault, (exchange: Exchange) => Promise<void> | void> = {
  none: workThenAnswer,
  'fail-fast': ({ response }) => {
    response.writeHead(500).end('failed');
  },
  'not-run': ({ response }) => {
    response.writeHead(503, { 'valvelatch-not-run': 'true' }).end();
  },
  slow: (exchange) => workThenAnswer({ ...exchange, workMs: exchange.workMs * SLOW_FACTOR }),
  'half-answer': ({ response, body }) => {
    response.writeHead(200, { 'content-length': String(body.length + 100) });
    response.write(body);
    setTimeout(() => response.destroy(), 5);
  },
  'reset-before': ({ request }) => {
    request.socket.destroy();
  },
  'reset-after': async ({ request, workMs }) => {
    await pause(workMs);
    request.socket.destroy();
  },
  'wrong-answer': ({ response }) => {
    response.writeHead(200, { 'valvelatch-request-id': 'another-request' }).end('not yours');
  },
  hang: () => undefined,
};

const respondNotRun = (response: ServerResponse, headers: Record<string, string>): void => {
  response.writeHead(503, { 'valvelatch-not-run': 'true', ...headers }).end();
};

/** Faults that occur before the request counts as executed. */
const faultsBeforeExecution: ReadonlySet<ExecutorFault> = new Set([
  'fail-fast',
  'not-run',
  'reset-before',
]);

/**
 * Starts an executor on a free port.
 *
 * @param options - Its name, its number of slots and the default duration of a request in milliseconds.
 * @returns The running executor.
 */
export const startExecutor = async ({
  name,
  slots,
  host = '127.0.0.1',
  workMs = 5,
}: ExecutorOptions): Promise<StandInExecutor> => {
  const stats = { inFlight: 0, maxInFlight: 0, served: 0, overSlots: 0 };
  const executions = new Map<string, number>();
  let fault: ExecutorFault = 'none';
  let isLeaving = false;

  const respond = (request: IncomingMessage, response: ServerResponse, body: Buffer) => {
    stats.served += 1;
    response
      .writeHead(200, {
        'content-type': 'application/octet-stream',
        'content-length': String(body.length),
        'valvelatch-request-id': String(request.headers['valvelatch-request-id'] ?? ''),
        'x-executor': name,
      })
      .end(body);
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (isLeaving) {
      respondNotRun(response, { 'valvelatch-leaving': 'true' });
      return;
    }
    if (stats.inFlight >= slots) {
      stats.overSlots += 1;
      respondNotRun(response, {});
      return;
    }
    stats.inFlight += 1;
    stats.maxInFlight = Math.max(stats.maxInFlight, stats.inFlight);
    response.on('close', () => {
      stats.inFlight -= 1;
    });
    const body = await readBody(request);
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string' && !faultsBeforeExecution.has(fault)) {
      executions.set(key, (executions.get(key) ?? 0) + 1);
    }
    const requestedWorkMs = Number(request.headers['x-work-ms'] ?? workMs);
    const answer = () => respond(request, response, body);
    await faults[fault]({ request, response, body, workMs: requestedWorkMs, answer });
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => request.socket.destroy());
  });
  server.listen(0, host);
  await once(server, 'listening');

  return {
    address: `http://${host}:${(server.address() as AddressInfo).port}`,
    stats,
    executions,
    setFault: (newFault) => {
      fault = newFault;
    },
    startDraining: () => {
      isLeaving = true;
    },
    close: async () => {
      const cut = stats.inFlight;
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
      return cut;
    },
  };
};
