/** What can go wrong with the platform, as its callers need to tell it apart. */

/** A fault of the platform or of the way to it. */
export type PlatformError = {
  /**
   * `unreachable`: the request surely had no effect. `unknown`: it may have had one.
   * `rejected`: the platform answered that the request is wrong.
   */
  readonly kind: 'unreachable' | 'unknown' | 'rejected';
  readonly detail: string;
};

const neverSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Classifies an error of the HTTP client.
 *
 * @param error - What was thrown.
 * @returns The platform error.
 */
export const toPlatformError = (error: unknown): PlatformError => {
  const { code = '', message = String(error) } = error as { code?: string; message?: string };
  return {
    kind: neverSentCodes.has(code) ? 'unreachable' : 'unknown',
    detail: code === '' ? message : `${code}: ${message}`,
  };
};
