/** Calls methods of an entry's operators' port over HTTP. */
import { request } from 'undici';

/** An entry's answer to a call. */
export type Answer = {
  readonly kind: string;
  /** The result of the method, when `kind` is `ok`. */
  readonly value?: unknown;
  /** Why the call failed, in words. */
  readonly detail?: string;
  /** Invalid parts of the submitted declaration files. */
  readonly faults?: readonly { file: string; path: string; reason: string }[];
};

export type CallOptions = {
  /** Addresses of entries, tried in order until one can be reached. */
  readonly urls: readonly string[];
  readonly key: string;
  /** Limit for the call to each entry. */
  readonly timeoutMs?: number;
};

/** Error codes of failures to connect, after which the request was certainly not sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const callUrl = async (
  url: string,
  { key, timeoutMs = 30_000 }: CallOptions,
  method: string,
  body: unknown,
): Promise<Answer> => {
  const response = await request(`${url}/v1/${method}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${key}` },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(timeoutMs),
  });
  return (await response.body.json()) as Answer;
};

/**
 * Calls a method of the operators' port.
 *
 * @param options - The addresses, the key and the timeout in milliseconds.
 * @param method - The method's name.
 * @param body - The request body, which is sent as JSON.
 * @returns The answer; one of kind `unavailable` when no entry can be reached or the call fails.
 */
export const callEntry = async (
  options: CallOptions,
  method: string,
  body: unknown,
): Promise<Answer> => {
  let detail = 'no address is given';
  for (let index = 0; index < options.urls.length; index += 1) {
    const url = options.urls[index] as string;
    try {
      return await callUrl(url, options, method, body);
    } catch (error) {
      const { code = '', message } = error as { code?: string; message: string };
      detail = `${url}: ${message === '' ? code : message}`;
      // A request that may have been sent is not repeated at another entry, which could execute it twice.
      if (!notSentCodes.has(code)) return { kind: 'unavailable', detail };
    }
  }
  return { kind: 'unavailable', detail };
};
