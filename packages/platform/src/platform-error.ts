/** Platform errors, classified by whether the failed request may have had an effect. */

/** A failed request to the platform. */
export type PlatformError = {
  /**
   * `unreachable`: the request certainly had no effect. `unknown`: it may have had an effect.
   * `rejected`: the platform answered that the request is invalid.
   */
  readonly kind: 'unreachable' | 'unknown' | 'rejected';
  readonly detail: string;
};

/** Error codes of failures to connect, after which the request was certainly not sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Classifies an error that the HTTP client threw.
 *
 * @param error - The thrown value.
 * @returns The platform error.
 */
export const toPlatformError = (error: unknown): PlatformError => {
  const { code = '', message = String(error) } = error as { code?: string; message?: string };
  return {
    kind: notSentCodes.has(code) ? 'unreachable' : 'unknown',
    detail: code === '' ? message : `${code}: ${message}`,
  };
};
