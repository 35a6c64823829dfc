/** JSON requests over HTTP with a timeout, used by the platform clients. */
import { Err, Ok, type Result } from 'ts-results-es';
import { Pool } from 'undici';

import { toPlatformError, type PlatformError } from './platform-error.js';

/** Options for a connection to one service of the platform. */
export type HttpJsonOptions = {
  readonly url: string;
  /** Limit for connecting and for each request as a whole, its response body included. */
  readonly timeoutMs?: number;
  /** Maximum number of connections in the pool. */
  readonly connections?: number;
};

/** A request; its body, if any, is sent as JSON. */
export type JsonRequest = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
};

/** A response with a status below 500 and its parsed body, which is null when it was empty. */
export type JsonResponse = { readonly status: number; readonly body: unknown };

/** A connection to one service of the platform. */
export type HttpJson = {
  /**
   * Sends a request. A status of 500 or above, a timeout and any other failure after the request may
   * have been sent give the error kind `unknown`.
   */
  readonly request: (request: JsonRequest) => Promise<Result<JsonResponse, PlatformError>>;
  readonly close: () => Promise<void>;
};

const FIRST_SERVER_ERROR = 500;

const parse = (text: string): unknown => (text === '' ? null : (JSON.parse(text) as unknown));

/**
 * Creates a connection pool. Connections are opened on demand.
 *
 * @param options - The address, the timeout in milliseconds and the maximum number of connections.
 * @returns The connection pool.
 */
export const createHttpJson = ({
  url,
  timeoutMs = 2000,
  connections = 8,
}: HttpJsonOptions): HttpJson => {
  const pool = new Pool(url, { connections, connect: { timeout: timeoutMs } });

  const request = async ({
    method,
    path,
    body,
  }: JsonRequest): Promise<Result<JsonResponse, PlatformError>> => {
    try {
      const response = await pool.request({
        method,
        path,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode >= FIRST_SERVER_ERROR) {
        return Err({ kind: 'unknown', detail: `status ${response.statusCode}` });
      }
      return Ok({ status: response.statusCode, body: parse(text) });
    } catch (error) {
      return Err(toPlatformError(error));
    }
  };

  return { request, close: () => pool.destroy() };
};

/**
 * Extracts the body of a response whose status must be below 300.
 *
 * @param result - The outcome of a request.
 * @returns The body; the error of the request; or a `rejected` error for a status of 300 or above.
 */
export const successBody = <Body>(
  result: Result<JsonResponse, PlatformError>,
): Result<Body, PlatformError> =>
  result.andThen(({ status, body }) =>
    status < 300
      ? Ok(body as Body)
      : Err({ kind: 'rejected' as const, detail: `status ${status}: ${JSON.stringify(body)}` }),
  );
