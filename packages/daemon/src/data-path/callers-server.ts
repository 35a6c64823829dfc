/** The port towards callers: reads requests, writes whole answers and refusals. */
import type { IncomingMessage } from 'node:http';
import {
  brand,
  statusOfRefusal,
  type CallerId,
  type Refusal,
  type RequestId,
  type ServiceName,
} from '@valvelatch/core';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';

import { callerHeader, headersToReturn, isRepeatable } from './headers.js';
import type { CallerRequest, RequestOutcome } from './request-types.js';

export type CallersServerOptions = {
  readonly serve: (request: CallerRequest) => Promise<RequestOutcome>;
  readonly newRequestId: () => RequestId;
  readonly isForwardProof: (proof: string, requestId: string) => boolean;
  /** False once the entry wants no more requests from the balancer. */
  readonly isHealthy: () => boolean;
  readonly onRefusal: (refusal: Refusal, tried: readonly string[], service: string) => void;
  readonly mostBodyBytes: number;
  readonly mostHeaderBytes: number;
  readonly receiveTimeoutMs: number;
};

const PREFIX = '/services/';
const MOST_NAME_LENGTH = 128;
const NOT_FOUND = 404;
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;
const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

type Wanted = { readonly Params: { readonly service: string; readonly '*': string } };

const single = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const malformation = (request: FastifyRequest): string | undefined => {
  const key = single(request.headers[callerHeader.key]);
  if (key !== undefined && !KEY_PATTERN.test(key)) {
    return `${callerHeader.key} must be 1 to 200 visible ASCII characters`;
  }
  const deadline = single(request.headers[callerHeader.deadlineMs]);
  if (deadline !== undefined && !/^[1-9]\d{0,8}$/.test(deadline)) {
    return `${callerHeader.deadlineMs} must be a whole number of milliseconds`;
  }
  const mark = single(request.headers[callerHeader.repeatable]);
  if (mark !== undefined && mark !== 'true' && mark !== 'false') {
    return `${callerHeader.repeatable} must be true or false`;
  }
  return undefined;
};

const pathBehind = (url: string, service: string): string => {
  const rest = url.slice(PREFIX.length + service.length);
  return rest.startsWith('/') ? rest : `/${rest}`;
};

/**
 * Writes a refusal as the caller gets it.
 *
 * @param reply - The reply.
 * @param refusal - The refusal.
 * @param status - The HTTP status, where it is not the usual one of the reason.
 * @returns The reply, sent.
 */
export const sendRefusal = (
  reply: FastifyReply,
  refusal: Refusal,
  status = statusOfRefusal(refusal.reason),
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
  const returned = headersToReturn(headers);
  returned[callerHeader.requestId] = requestId;
  returned[callerHeader.verdict] = 'ran';
  return reply.code(status).headers(returned).send(body);
};

/**
 * Builds the server; it is not listening yet.
 *
 * @param options - How requests are served, and the bounds on what callers send.
 * @returns The server.
 */
export const createCallersServer = ({
  serve,
  newRequestId,
  isForwardProof,
  isHealthy,
  onRefusal,
  mostBodyBytes,
  mostHeaderBytes,
  receiveTimeoutMs,
}: CallersServerOptions): FastifyInstance => {
  const app = fastify({
    bodyLimit: mostBodyBytes,
    requestTimeout: receiveTimeoutMs,
    http: { maxHeaderSize: mostHeaderBytes, headersTimeout: receiveTimeoutMs },
    routerOptions: { maxParamLength: MOST_NAME_LENGTH },
    exposeHeadRoutes: false,
    return503OnClosing: false,
    genReqId: newRequestId,
  } as object) as unknown as FastifyInstance;

  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_, body, done) => done(null, body));

  const malformed = (reply: FastifyReply, requestId: RequestId, detail: string, status?: number) =>
    sendRefusal(
      reply,
      { verdict: 'notRun', reason: 'malformed-request', detail, retryAfterS: 1, requestId },
      status,
    );

  // Only faults in reading the request get here; nothing has been sent to an endpoint yet.
  app.setErrorHandler((error: { statusCode?: number; message: string }, request, reply) =>
    malformed(reply, brand<RequestId>(String(request.id)), error.message, error.statusCode ?? 500),
  );
  app.setNotFoundHandler((request, reply) => {
    const detail = `expected a path of the form ${PREFIX}NAME/...`;
    return malformed(reply, brand<RequestId>(String(request.id)), detail, NOT_FOUND);
  });

  app.get('/healthz', (_, reply) =>
    isHealthy() ? reply.send('ok\n') : reply.code(503).send('stopping\n'),
  );

  const read = (request: FastifyRequest<Wanted>): CallerRequest => {
    const { headers } = request;
    const { service } = request.params;
    const deadline = single(headers[callerHeader.deadlineMs]);
    const proof = single(headers[callerHeader.forwarded]);
    const givenId = single(headers[callerHeader.requestId]) ?? '';
    const isForwarded = proof !== undefined && isForwardProof(proof, givenId);
    return {
      requestId: brand<RequestId>(isForwarded ? givenId : request.id),
      service: brand<ServiceName>(service),
      method: request.method,
      path: pathBehind(request.url, service),
      headers,
      body: (request.body as Buffer | undefined) ?? null,
      callerId: brand<CallerId>(single(headers[callerHeader.caller]) ?? request.ip),
      isRepeatable: isRepeatable(request.method, single(headers[callerHeader.repeatable])),
      key: single(headers[callerHeader.key]) ?? null,
      isFirstAttempt: single(headers[callerHeader.attempt]) === 'first',
      isForwarded,
      wantedMs: deadline === undefined ? null : Number(deadline),
    };
  };

  const handle = async (request: FastifyRequest<Wanted>, reply: FastifyReply) => {
    const fault = malformation(request);
    if (fault !== undefined) return malformed(reply, brand<RequestId>(request.id), fault);
    const wanted = read(request);
    const outcome = await serve(wanted);
    if (outcome.kind === 'refusal') onRefusal(outcome.refusal, outcome.tried, wanted.service);
    return sendOutcome(reply, wanted.requestId, outcome);
  };

  app.route<Wanted>({ method: [...methods], url: `${PREFIX}:service/*`, handler: handle });
  app.route<Wanted>({ method: [...methods], url: `${PREFIX}:service`, handler: handle });

  app.server.on('clientError', (_: Error, socket: IncomingMessage['socket']) => {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
  });
  return app;
};
