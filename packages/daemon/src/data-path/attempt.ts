/**
 * One attempt at an endpoint: the request goes out, and the answer is taken whole or not at all.
 * What was seen on the way is the evidence for the verdict.
 */
import type { AttemptEvidence } from '@valvelatch/core';
import type { Dispatcher } from 'undici';

/** A request as it goes to an endpoint. */
export type AttemptRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
  readonly requestId: string;
  readonly timeoutMs: number;
  readonly mostAnswerBytes: number;
  /** Asked once more in the moment before the request goes out. */
  readonly mayStillSend?: () => boolean;
};

/** A whole answer of an endpoint. */
export type WholeAnswer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
};

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  | {
      readonly kind: 'failed';
      readonly evidence: AttemptEvidence['kind'];
      readonly reason:
        'not-sent' | 'unreachable' | 'incomplete' | 'too-large' | 'timeout' | 'not-its-own';
      readonly detail: string;
    };

/** Headers by which an endpoint tells of a request and of itself. */
export const endpointHeader = {
  requestId: 'valvelatch-request-id',
  notRun: 'valvelatch-not-run',
  leaving: 'valvelatch-leaving',
} as const;

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
/** A timeout is settled here; the error that undici raises for the abort says nothing more. */
const TIMEOUT_DETAIL = 'no whole answer before the deadline';

type Failure = Extract<AttemptResult, { kind: 'failed' }>;
type Headers = WholeAnswer['headers'];

/** Without a length or chunks the end of the body cannot be told from a cut. */
const hasTellableEnd = (method: string, status: number, headers: Headers): boolean =>
  method === 'HEAD' ||
  status === NO_CONTENT ||
  status === NOT_MODIFIED ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

const isOfOther = (headers: Headers, requestId: string): boolean => {
  const echoed = headers[endpointHeader.requestId];
  return typeof echoed === 'string' && echoed !== '' && echoed !== requestId;
};

/**
 * Makes one attempt.
 *
 * @param dispatcher - The connections to the endpoint.
 * @param request - The request, with its bounds on time and size.
 * @returns The whole answer, or how the attempt failed; it never rejects.
 */
export const attempt = (dispatcher: Dispatcher, request: AttemptRequest): Promise<AttemptResult> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let evidence: AttemptEvidence['kind'] = 'nothing-sent';
    let status = 0;
    let headers: Headers = {};
    let sizeBytes = 0;
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
        // Only this module decides what may be sent twice.
        idempotent: false,
      },
      {
        onRequestStart: (started) => {
          controller = started;
          if (isSettled) {
            started.abort(new Error(TIMEOUT_DETAIL));
            return;
          }
          if (request.mayStillSend?.() === false) {
            fail('not-sent', 'the share of the endpoint ran out before the request was sent');
            return;
          }
          evidence = 'bytes-may-have-left';
        },
        onResponseStart: (_, code, received) => {
          evidence = 'answer-began';
          status = code;
          headers = received as Headers;
          if (isOfOther(headers, request.requestId)) {
            fail('not-its-own', 'the answer names another request');
          } else if (!hasTellableEnd(request.method, code, headers)) {
            fail('incomplete', 'the answer has neither a length nor chunks');
          }
        },
        onResponseData: (_, chunk) => {
          sizeBytes += chunk.length;
          if (sizeBytes > request.mostAnswerBytes) {
            fail('too-large', `the answer is larger than ${request.mostAnswerBytes} bytes`);
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
