/** The headers of the callers' side: what a caller may say, and what is passed on. */
import type { IncomingHttpHeaders } from 'node:http';

/** Headers that callers know. */
export const callerHeader = {
  key: 'idempotency-key',
  repeatable: 'valvelatch-repeatable',
  deadlineMs: 'valvelatch-deadline-ms',
  caller: 'valvelatch-caller',
  attempt: 'valvelatch-attempt',
  requestId: 'valvelatch-request-id',
  verdict: 'valvelatch-verdict',
  reason: 'valvelatch-reason',
  /** Shown by an entry that passes a request on; the value proves that it knows the mesh key. */
  forwarded: 'valvelatch-forwarded',
} as const;

const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

const repeatableMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/**
 * Picks the headers that go on to the next hop.
 *
 * @param headers - The headers that came in.
 * @param added - Headers to add or replace.
 * @returns The headers to send.
 */
export const headersToSend = (
  headers: IncomingHttpHeaders,
  added: Readonly<Record<string, string>>,
): Record<string, string> => {
  const sent: Record<string, string> = {};
  Object.keys(headers).forEach((name) => {
    const value = headers[name];
    if (value === undefined || hopByHop.has(name)) return;
    sent[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return Object.assign(sent, added);
};

/**
 * Picks the headers of an answer that go back to the caller.
 *
 * @param headers - The endpoint's headers.
 * @returns The headers to give.
 */
export const headersToReturn = (
  headers: Readonly<Record<string, string | string[]>>,
): Record<string, string | string[]> => {
  const returned: Record<string, string | string[]> = {};
  Object.keys(headers).forEach((name) => {
    if (!hopByHop.has(name)) returned[name] = headers[name] as string | string[];
  });
  return returned;
};

/**
 * Tells whether a request may be sent twice: by its mark, else by its method.
 *
 * @param method - The HTTP method.
 * @param mark - The caller's mark, if there is one.
 * @returns True if it is repeatable.
 */
export const isRepeatable = (method: string, mark: string | undefined): boolean =>
  mark === undefined ? repeatableMethods.has(method) : mark === 'true';
