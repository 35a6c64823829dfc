/** The ports of an entry: listened on at its start, closed at its end. */
import type { AddressInfo } from 'node:net';

import type { FastifyInstance } from 'fastify';

import { sleep } from '../shared/sleep.js';

/** How often a server that closes is looked at for connections that have become idle. */
const CLOSE_LOOK_MS = 20;

/**
 * Writes an address.
 *
 * @param scheme - The scheme, without its colon.
 * @param host - A name, or an address of either version.
 * @param port - The port.
 * @returns The address.
 */
export const urlOf = (scheme: string, host: string, port: number): string =>
  `${scheme}://${host.includes(':') ? `[${host}]` : host}:${port}`;

/**
 * Begins to listen.
 *
 * @param app - The server.
 * @param host - Where it listens.
 * @param port - The port; 0 for any that is free.
 * @returns The address on which it listens.
 * @throws Where the port cannot be listened on.
 */
export const listen = async (app: FastifyInstance, host: string, port: number): Promise<string> => {
  await app.listen({ host, port });
  return urlOf('http', host, (app.server.address() as AddressInfo).port);
};

/**
 * Closes a server. A connection that is kept alive would hold up the end; one that is in use is never
 * cut.
 *
 * @param app - The server.
 * @returns Resolves once no connection is left.
 */
export const closeWhenIdle = async (app: FastifyInstance): Promise<void> => {
  let isClosed = false;
  const closed = app.close().then(() => {
    isClosed = true;
  });
  while (!isClosed) {
    app.server.closeIdleConnections();
    await sleep(CLOSE_LOOK_MS);
  }
  await closed;
};
