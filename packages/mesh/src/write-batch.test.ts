/** Guards against a system call for each frame of an entry that sends many of them at once. */
import { once } from 'node:events';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createWriteBatch } from './write-batch.js';

const FRAMES = 50;

describe('the writes of one turn of the event loop', () => {
  const server = createServer();
  let accepted: Socket;
  let connection: Socket;

  beforeEach(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    connection = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const [[socket]] = await Promise.all([once(server, 'connection'), once(connection, 'connect')]);
    accepted = socket as Socket;
  });

  afterEach(async () => {
    connection.destroy();
    accepted.destroy();
    server.close();
    await once(server, 'close');
  });

  it('arrive together, whole and in order', async () => {
    const batch = createWriteBatch(connection);
    const chunks: Buffer[] = [];
    accepted.on('data', (chunk: Buffer) => chunks.push(chunk));
    Array.from({ length: FRAMES }).forEach((_, index) => {
      batch.begin();
      connection.write(`${index},`);
    });
    const expected = Array.from({ length: FRAMES }, (_, index) => `${index},`).join('');
    while (Buffer.concat(chunks).length < expected.length) await once(accepted, 'data');
    expect(Buffer.concat(chunks).toString()).toBe(expected);
    expect(chunks).toHaveLength(1);
  });

  it('are not held back beyond it', async () => {
    const batch = createWriteBatch(connection);
    batch.begin();
    connection.write('first');
    await once(accepted, 'data');
    batch.begin();
    connection.write('second');
    const [chunk] = (await once(accepted, 'data')) as [Buffer];
    expect(chunk.toString()).toBe('second');
  });

  it('are not lost if the connection is closed in the same turn', async () => {
    const batch = createWriteBatch(connection);
    batch.begin();
    connection.write('last');
    batch.flush();
    connection.destroy();
    const [chunk] = (await once(accepted, 'data')) as [Buffer];
    expect(chunk.toString()).toBe('last');
  });
});
