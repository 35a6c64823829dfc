/**
 * Sends a request once to an endpoint or to another entry. Only a complete response is returned; a
 * failed attempt returns the evidence from which the verdict is derived.
 */
import type { AttemptEvidence } from '@valvelatch/core';
import type { Dispatcher } from 'undici';

/** A request as it is sent to an endpoint or to another entry. */
export type AttemptRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
  readonly requestId: string;
  /** Time until the complete response must have been received, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum size of the response body, in bytes. */
  readonly maxResponseBytes: number;
  /**
   * Checked immediately before the request is sent; if it returns false, the attempt fails with
   * `not-sent`. Undefined if the request may always be sent.
   */
  readonly isSendAllowed?: () => boolean;
};

/** A response that was received completely. */
export type CompleteResponse = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
};

/** The result of an attempt: a complete response, or the failure and its evidence. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: CompleteResponse }
  | {
      readonly kind: 'failed';
      readonly evidence: AttemptEvidence['kind'];
      readonly reason:
        'not-sent' | 'unreachable' | 'incomplete' | 'too-large' | 'timeout' | 'not-its-own';
      readonly detail: string;
    };

/** Response headers in which an endpoint reports on a request and on its own state. */
export const endpointHeader = {
  requestId: 'valvelatch-request-id',
  notRun: 'valvelatch-not-run',
  leaving: 'valvelatch-leaving',
} as const;

const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;
/** Detail of a timeout. The error that undici raises for the abort adds no information to it. */
const TIMEOUT_DETAIL = 'no whole answer before the deadline';

type Failure = Extract<AttemptResult, { kind: 'failed' }>;
type Headers = CompleteResponse['headers'];

/**
 * Returns whether the end of the body can be told from a connection that was cut: the response has
 * no body, a length, or a transfer encoding such as chunked.
 */
const hasDelimitedBody = (method: string, status: number, headers: Headers): boolean =>
  method === 'HEAD' ||
  status === HTTP_NO_CONTENT ||
  status === HTTP_NOT_MODIFIED ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

const belongsToOtherRequest = (headers: Headers, requestId: string): boolean => {
  const echoed = headers[endpointHeader.requestId];
  return typeof echoed === 'string' && echoed !== '' && echoed !== requestId;
};

/**
 * Sends a request once.
 *
 * @param dispatcher - The connection pool of the receiver.
 * @param request - The request, with its limits on time and size.
 * @returns The complete response, or the reason of the failure. The promise never rejects.
 */
export const sendAttempt = (
  dispatcher: Dispatcher,
  request: AttemptRequest,
): Promise<AttemptResult> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let evidence: AttemptEvidence['kind'] = 'nothing-sent';
    let status = 0;
    let headers: Headers = {};
    let receivedBytes = 0;
    let controller: Dispatcher.DispatchController | undefined;
    let isSettled = false;

    const settle = (result: AttemptResult): void => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (reason: Failure['reason'], detail: string): void => {
      settle({ kind: 'failed', evidence, reason, detail });
      controller?.abort(new Error(detail));
    };
    const timer = setTimeout(() => fail('timeout', TIMEOUT_DETAIL), request.timeoutMs);

    dispatcher.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        // Keeps undici from resending the request: only serve-request.ts decides on retries.
        idempotent: false,
      },
      {
        onRequestStart: (startedController) => {
          controller = startedController;
          if (isSettled) {
            startedController.abort(new Error(TIMEOUT_DETAIL));
            return;
          }
          if (request.isSendAllowed?.() === false) {
            fail('not-sent', 'the share of the endpoint ran out before the request was sent');
            return;
          }
          evidence = 'bytes-may-have-left';
        },
        onResponseStart: (_, statusCode, receivedHeaders) => {
          evidence = 'answer-began';
          status = statusCode;
          headers = receivedHeaders as Headers;
          if (belongsToOtherRequest(headers, request.requestId)) {
            fail('not-its-own', 'the answer names another request');
          } else if (!hasDelimitedBody(request.method, statusCode, headers)) {
            fail('incomplete', 'the answer has neither a length nor chunks');
          }
        },
        onResponseData: (_, chunk) => {
          receivedBytes += chunk.length;
          if (receivedBytes > request.maxResponseBytes) {
            fail('too-large', `the answer is larger than ${request.maxResponseBytes} bytes`);
          } else {
            chunks.push(chunk);
          }
        },
        onResponseEnd: () => {
          const body = chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
          settle({ kind: 'answered', answer: { status, headers, body } });
        },
        onResponseError: (_, error) => {
          fail(evidence === 'answer-began' ? 'incomplete' : 'unreachable', error.message);
        },
      },
    );
  });
