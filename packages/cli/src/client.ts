/** The way from the command line to an entry's operators' port. */
import { request } from 'undici';

/** What an entry answers. */
export type Answer = {
  readonly kind: string;
  readonly value?: unknown;
  readonly detail?: string;
  readonly faults?: readonly { file: string; path: string; reason: string }[];
};

export type CallOptions = {
  /** Addresses of entries; the next is tried where one cannot be reached. */
  readonly urls: readonly string[];
  readonly key: string;
  readonly timeoutMs?: number;
};

const neverSent: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const callOne = async (
  url: string,
  { key, timeoutMs = 30_000 }: CallOptions,
  method: string,
  body: unknown,
): Promise<Answer> => {
  const answer = await request(`${url}/v1/${method}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${key}` },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(timeoutMs),
  });
  return (await answer.body.json()) as Answer;
};

/**
 * Calls a method of the operators' port.
 *
 * @param options - Where to call, with which key, and the bound on time in milliseconds.
 * @param method - The method.
 * @param body - Its body.
 * @returns The answer; where no entry can be reached, one of kind `unavailable`.
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
      return await callOne(url, options, method, body);
    } catch (error) {
      const { code = '', message } = error as { code?: string; message: string };
      detail = `${url}: ${message === '' ? code : message}`;
      // What may have been sent is not sent again through another entry.
      if (!neverSent.has(code)) return { kind: 'unavailable', detail };
    }
  }
  return { kind: 'unavailable', detail };
};
