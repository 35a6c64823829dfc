/**
 * The HTTP server for operators of batch work. Metrics are served to anyone who reaches the port; queries
 * need the operator key. It uses Node's own server, because every start of the process would have to load a
 * library.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server } from 'node:http';

import type { Metrics } from '../../observe/metrics.js';
import type { OperatorResult } from '../../operators/operator-result.js';
import type { OperatorQuery } from './operator-queries.js';

const STATUS_CODES: Record<OperatorResult['kind'], number> = {
  ok: 200,
  invalid: 422,
  conflict: 409,
  'not-found': 404,
  unavailable: 503,
};
const UNAUTHORIZED = 401;
const METHOD_PATH = /^\/v1\/([a-z-]+)$/;
const MAX_BODY_CHARACTERS = 64 * 1024;

export type OperatorHttpServerOptions = {
  /** The bearer token that operators must send; if undefined, only metrics are served. */
  readonly operatorKey: string | undefined;
  readonly metrics: Metrics;
  /** Answers a query, here or at the holder. */
  readonly ask: (question: OperatorQuery) => Promise<OperatorResult>;
};

/** Hashes a text, so that texts of different lengths can be compared in constant time. */
const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const readText = async (request: IncomingMessage): Promise<string> => {
  let text = '';
  request.setEncoding('utf8');
  request.on('data', (chunk: string) => {
    if (text.length < MAX_BODY_CHARACTERS) text += chunk;
  });
  await new Promise((resolve, reject) => {
    request.on('end', resolve);
    request.on('error', reject);
  });
  return text;
};

const parseBody = (text: string): object | undefined => {
  try {
    const value = JSON.parse(text === '' ? '{}' : text) as unknown;
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Creates the server; it does not listen yet.
 *
 * @param options - The operator key, the metrics, and the function that answers queries.
 * @returns The server.
 */
export const createOperatorHttpServer = ({
  operatorKey,
  metrics,
  ask,
}: OperatorHttpServerOptions): Server => {
  const isAllowed = ({ headers }: IncomingMessage): boolean =>
    operatorKey !== undefined &&
    timingSafeEqual(digest(headers.authorization ?? ''), digest(`Bearer ${operatorKey}`));

  const answer = async (request: IncomingMessage): Promise<readonly [number, object]> => {
    const method = METHOD_PATH.exec(request.url ?? '')?.[1];
    if (!isAllowed(request)) {
      return [
        UNAUTHORIZED,
        { kind: 'unauthorized', detail: 'the operator key is missing or wrong' },
      ];
    }
    const body = parseBody(await readText(request));
    if (!method || !body)
      return [STATUS_CODES.invalid, { kind: 'invalid', detail: 'not a question' }];
    const result = await ask({ method, body });
    return [STATUS_CODES[result.kind], result];
  };

  return createServer((request, response) => {
    if (request.method === 'GET') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(metrics.text());
      return;
    }
    answer(request).then(
      ([status, body]) =>
        response
          .writeHead(status, { 'content-type': 'application/json' })
          .end(JSON.stringify(body)),
      () => response.destroy(),
    );
  });
};
