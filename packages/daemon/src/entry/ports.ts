/** Helpers that open and close the listening ports of an entry. */
import type { AddressInfo } from 'node:net';

import type { FastifyInstance } from 'fastify';

import { sleep } from '../shared/sleep.js';

/** How often a server that is closing is checked for connections that have become idle. */
const IDLE_CONNECTION_CHECK_MS = 20;

/**
 * Formats a URL.
 *
 * @param scheme - The scheme, without its colon.
 * @param host - A host name, an IPv4 address or an IPv6 address without brackets.
 * @param port - The port.
 * @returns The URL.
 */
export const formatUrl = (scheme: string, host: string, port: number): string =>
  `${scheme}://${host.includes(':') ? `[${host}]` : host}:${port}`;

/**
 * Starts listening.
 *
 * @param app - The server.
 * @param host - The name or address to listen on.
 * @param port - The port; 0 picks any free port.
 * @returns The URL on which the server listens.
 * @throws If the port cannot be listened on.
 */
export const listen = async (app: FastifyInstance, host: string, port: number): Promise<string> => {
  await app.listen({ host, port });
  return formatUrl('http', host, (app.server.address() as AddressInfo).port);
};

/**
 * Closes a server. Idle keep-alive connections are closed, because they would delay the end; a connection with
 * a request in progress is never cut.
 *
 * @param app - The server.
 * @returns A promise that resolves once no connection is left.
 */
export const closeWhenIdle = async (app: FastifyInstance): Promise<void> => {
  let isClosed = false;
  const closed = app.close().then(() => {
    isClosed = true;
  });
  while (!isClosed) {
    app.server.closeIdleConnections();
    await sleep(IDLE_CONNECTION_CHECK_MS);
  }
  await closed;
};
