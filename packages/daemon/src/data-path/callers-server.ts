/** HTTP server for callers: parses requests, and sends complete responses or refusals. */
import type { IncomingMessage } from 'node:http';
import {
  brand,
  httpStatusOfRefusal,
  type CallerId,
  type Refusal,
  type RequestId,
  type ServiceName,
} from '@valvelatch/core';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';

import { callerHeader, selectResponseHeaders, isRepeatable } from './headers.js';
import type { CallerRequest, RequestOutcome } from './request-types.js';

export type CallersServerOptions = {
  /** Serves one request and returns its outcome. */
  readonly serve: (request: CallerRequest) => Promise<RequestOutcome>;
  readonly generateRequestId: () => RequestId;
  /** Returns whether a proof shows that an entry with the mesh key forwarded the request. */
  readonly isValidForwardProof: (proof: string, requestId: string) => boolean;
  /** False once the load balancer is to send no more requests to this entry. */
  readonly isHealthy: () => boolean;
  /** Called for each refused request, with a description of each failed attempt. */
  readonly onRefusal: (refusal: Refusal, tried: readonly string[], service: string) => void;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Time limit for receiving a request, in milliseconds. */
  readonly receiveTimeoutMs: number;
};

const PATH_PREFIX = '/services/';
const MAX_SERVICE_NAME_LENGTH = 128;
const NOT_FOUND = 404;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

type ServiceRoute = { readonly Params: { readonly service: string; readonly '*': string } };

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const findHeaderError = (request: FastifyRequest): string | undefined => {
  const key = firstValue(request.headers[callerHeader.key]);
  if (key !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(key)) {
    return `${callerHeader.key} must be 1 to 200 visible ASCII characters`;
  }
  const deadline = firstValue(request.headers[callerHeader.deadlineMs]);
  if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
    return `${callerHeader.deadlineMs} must be a whole number of milliseconds`;
  }
  const repeatable = firstValue(request.headers[callerHeader.repeatable]);
  if (repeatable !== undefined && repeatable !== 'true' && repeatable !== 'false') {
    return `${callerHeader.repeatable} must be true or false`;
  }
  return undefined;
};

const pathAfterService = (url: string, service: string): string => {
  const rest = url.slice(PATH_PREFIX.length + service.length);
  return rest.startsWith('/') ? rest : `/${rest}`;
};

/**
 * Sends a refusal to the caller, in the body and in the headers.
 *
 * @param reply - The reply to send it with.
 * @param refusal - The refusal.
 * @param status - The HTTP status; defaults to the status that belongs to the reason.
 * @returns The reply, which has been sent.
 */
export const sendRefusal = (
  reply: FastifyReply,
  refusal: Refusal,
  status = httpStatusOfRefusal(refusal.reason),
): FastifyReply =>
  reply
    .code(status)
    .header('retry-after', String(refusal.retryAfterS))
    .header(callerHeader.verdict, refusal.verdict)
    .header(callerHeader.reason, refusal.reason)
    .header(callerHeader.requestId, refusal.requestId)
    .send(refusal);

const sendOutcome = (
  reply: FastifyReply,
  requestId: RequestId,
  outcome: RequestOutcome,
): FastifyReply => {
  if (outcome.kind === 'refusal') return sendRefusal(reply, outcome.refusal);
  reply.header(callerHeader.requestId, requestId).header(callerHeader.verdict, 'ran');
  if (outcome.kind === 'replay') {
    const { status, contentType, bodyBase64 } = outcome.answer;
    return reply
      .code(status)
      .header('content-type', contentType)
      .header('valvelatch-replayed', 'true')
      .send(Buffer.from(bodyBase64, 'base64'));
  }
  const { status, headers, body } = outcome.answer;
  const returned = selectResponseHeaders(headers);
  returned[callerHeader.requestId] = requestId;
  returned[callerHeader.verdict] = 'ran';
  return reply.code(status).headers(returned).send(body);
};

/**
 * Creates the server without starting to listen.
 *
 * @param options - The functions that serve requests, and the limits on requests.
 * @returns The server.
 */
export const createCallersServer = ({
  serve,
  generateRequestId,
  isValidForwardProof,
  isHealthy,
  onRefusal,
  maxBodyBytes,
  maxHeaderBytes,
  receiveTimeoutMs,
}: CallersServerOptions): FastifyInstance => {
  const app = fastify({
    bodyLimit: maxBodyBytes,
    requestTimeout: receiveTimeoutMs,
    http: { maxHeaderSize: maxHeaderBytes, headersTimeout: receiveTimeoutMs },
    routerOptions: { maxParamLength: MAX_SERVICE_NAME_LENGTH },
    exposeHeadRoutes: false,
    return503OnClosing: false,
    genReqId: generateRequestId,
  } as object) as unknown as FastifyInstance;

  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_, body, done) => done(null, body));

  const sendMalformed = (
    reply: FastifyReply,
    requestId: RequestId,
    detail: string,
    status?: number,
  ) =>
    sendRefusal(
      reply,
      { verdict: 'notRun', reason: 'malformed-request', detail, retryAfterS: 1, requestId },
      status,
    );

  // Only errors in reading the request get here, before anything is sent to an endpoint. The
  // verdict `notRun` is therefore correct.
  app.setErrorHandler((error: { statusCode?: number; message: string }, request, reply) =>
    sendMalformed(
      reply,
      brand<RequestId>(String(request.id)),
      error.message,
      error.statusCode ?? 500,
    ),
  );
  app.setNotFoundHandler((request, reply) => {
    const detail = `expected a path of the form ${PATH_PREFIX}NAME/...`;
    return sendMalformed(reply, brand<RequestId>(String(request.id)), detail, NOT_FOUND);
  });

  app.get('/healthz', (_, reply) =>
    isHealthy() ? reply.send('ok\n') : reply.code(503).send('stopping\n'),
  );

  const parseRequest = (request: FastifyRequest<ServiceRoute>): CallerRequest => {
    const { headers } = request;
    const { service } = request.params;
    const deadline = firstValue(headers[callerHeader.deadlineMs]);
    const proof = firstValue(headers[callerHeader.forwarded]);
    const suppliedId = firstValue(headers[callerHeader.requestId]) ?? '';
    const isForwarded = proof !== undefined && isValidForwardProof(proof, suppliedId);
    return {
      requestId: brand<RequestId>(isForwarded ? suppliedId : request.id),
      service: brand<ServiceName>(service),
      method: request.method,
      path: pathAfterService(request.url, service),
      headers,
      body: (request.body as Buffer | undefined) ?? null,
      callerId: brand<CallerId>(firstValue(headers[callerHeader.caller]) ?? request.ip),
      isRepeatable: isRepeatable(request.method, firstValue(headers[callerHeader.repeatable])),
      idempotencyKey: firstValue(headers[callerHeader.key]) ?? null,
      isFirstAttempt: firstValue(headers[callerHeader.attempt]) === 'first',
      isForwarded,
      requestedTimeoutMs: deadline === undefined ? null : Number(deadline),
    };
  };

  const handleRequest = async (request: FastifyRequest<ServiceRoute>, reply: FastifyReply) => {
    const headerError = findHeaderError(request);
    if (headerError !== undefined)
      return sendMalformed(reply, brand<RequestId>(request.id), headerError);
    const callerRequest = parseRequest(request);
    const outcome = await serve(callerRequest);
    if (outcome.kind === 'refusal')
      onRefusal(outcome.refusal, outcome.tried, callerRequest.service);
    return sendOutcome(reply, callerRequest.requestId, outcome);
  };

  app.route<ServiceRoute>({
    method: [...METHODS],
    url: `${PATH_PREFIX}:service/*`,
    handler: handleRequest,
  });
  app.route<ServiceRoute>({
    method: [...METHODS],
    url: `${PATH_PREFIX}:service`,
    handler: handleRequest,
  });

  app.server.on('clientError', (_: Error, socket: IncomingMessage['socket']) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
  });
  return app;
};
