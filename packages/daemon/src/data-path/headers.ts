/** HTTP headers between callers and entries, and the selection of headers to forward. */
import type { IncomingHttpHeaders } from 'node:http';

/** Names of the headers between callers and entries. */
export const callerHeader = {
  key: 'idempotency-key',
  repeatable: 'valvelatch-repeatable',
  deadlineMs: 'valvelatch-deadline-ms',
  caller: 'valvelatch-caller',
  attempt: 'valvelatch-attempt',
  requestId: 'valvelatch-request-id',
  verdict: 'valvelatch-verdict',
  reason: 'valvelatch-reason',
  /** Set by an entry that forwards a request. The value proves that the entry has the mesh key. */
  forwarded: 'valvelatch-forwarded',
} as const;

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/**
 * Selects the request headers to forward: all except hop-by-hop headers.
 *
 * @param headers - The headers of the received request.
 * @param added - Headers to add or replace.
 * @returns The headers to send.
 */
export const selectRequestHeaders = (
  headers: IncomingHttpHeaders,
  added: Readonly<Record<string, string>>,
): Record<string, string> => {
  const selected: Record<string, string> = {};
  Object.keys(headers).forEach((name) => {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return;
    selected[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return Object.assign(selected, added);
};

/**
 * Selects the response headers to return to the caller: all except hop-by-hop headers.
 *
 * @param headers - The headers of the endpoint's response.
 * @returns The headers to return.
 */
export const selectResponseHeaders = (
  headers: Readonly<Record<string, string | string[]>>,
): Record<string, string | string[]> => {
  const selected: Record<string, string | string[]> = {};
  Object.keys(headers).forEach((name) => {
    if (!HOP_BY_HOP_HEADERS.has(name)) selected[name] = headers[name] as string | string[];
  });
  return selected;
};

/**
 * Returns whether a request may be sent more than once. The caller's header decides; without it,
 * the idempotent HTTP methods are repeatable.
 *
 * @param method - The HTTP method.
 * @param repeatable - The value of the header `valvelatch-repeatable`, or undefined without it.
 * @returns True if the request is repeatable.
 */
export const isRepeatable = (method: string, repeatable: string | undefined): boolean =>
  repeatable === undefined ? IDEMPOTENT_METHODS.has(method) : repeatable === 'true';
