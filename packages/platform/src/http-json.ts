/** JSON over HTTP with a bound on time, for the clients of the platform. */
import { Err, Ok, type Result } from 'ts-results-es';
import { Pool } from 'undici';

import { toPlatformError, type PlatformError } from './platform-error.js';

/** Options for a connection to one service of the platform. */
export type HttpJsonOptions = {
  readonly url: string;
  readonly timeoutMs?: number;
  readonly connections?: number;
};

/** A request: the body is sent as JSON. */
export type JsonRequest = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
};

/** An answer with its status, for those that mean something by it. */
export type JsonAnswer = { readonly status: number; readonly body: unknown };

/** A connection to one service of the platform. */
export type HttpJson = {
  readonly request: (request: JsonRequest) => Promise<Result<JsonAnswer, PlatformError>>;
  readonly close: () => Promise<void>;
};

const FIRST_SERVER_ERROR = 500;

const parse = (text: string): unknown => (text === '' ? null : (JSON.parse(text) as unknown));

/**
 * Opens a connection pool. Connections are made when they are needed.
 *
 * @param options - The address, the bound on each request in milliseconds, and the connections.
 * @returns The connection.
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
  }: JsonRequest): Promise<Result<JsonAnswer, PlatformError>> => {
    try {
      const answer = await pool.request({
        method,
        path,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await answer.body.text();
      if (answer.statusCode >= FIRST_SERVER_ERROR) {
        return Err({ kind: 'unknown', detail: `status ${answer.statusCode}` });
      }
      return Ok({ status: answer.statusCode, body: parse(text) });
    } catch (error) {
      return Err(toPlatformError(error));
    }
  };

  return { request, close: () => pool.destroy() };
};

/**
 * Takes the body of an answer that must be a success.
 *
 * @param result - The outcome of a request.
 * @returns The body, or the error.
 */
export const successBody = <Body>(
  result: Result<JsonAnswer, PlatformError>,
): Result<Body, PlatformError> =>
  result.andThen(({ status, body }) =>
    status < 300
      ? Ok(body as Body)
      : Err({ kind: 'rejected' as const, detail: `status ${status}: ${JSON.stringify(body)}` }),
  );
