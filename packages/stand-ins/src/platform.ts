/** A small stand-in for the platform's table, object store and lagging list of hosts. */
import { createTableModel, type RowCheck, type RowWrite } from '@valvelatch/core';
import fastify, { type FastifyInstance } from 'fastify';

type HostReport = {
  readonly hostId: string;
  readonly state: 'live' | 'leaving';
  readonly boots: number;
};
type KnownHost = HostReport & { readonly heardAtMs: number };

/** What is wrong with the platform at the moment. */
export type PlatformFault = {
  readonly mode: 'none' | 'down' | 'slow' | 'lose-answers';
  readonly delayMs?: number;
};

/** Options for the stand-in. */
export type PlatformOptions = {
  readonly host?: string;
  readonly port?: number;
  /** How far the list of hosts lags. */
  readonly listLagMs?: number;
  readonly hostGoneAfterMs?: number;
};

/** A running stand-in. */
export type StandInPlatform = {
  readonly url: string;
  readonly setFault: (fault: PlatformFault) => void;
  readonly counts: { transactions: number; rowsWritten: number; reads: number };
  readonly close: () => Promise<void>;
};

const createHostList = (lagMs: number, goneAfterMs: number) => {
  const known = new Map<string, KnownHost>();
  const reboots = new Map<string, string>();
  const doneReboots = new Set<string>();
  let published: readonly unknown[] = [];
  const publish = () => {
    const nowMs = performance.now();
    published = Array.from(known.values(), ({ hostId, state, boots, heardAtMs }) => ({
      hostId,
      boots,
      state: nowMs - heardAtMs > goneAfterMs ? 'gone' : state,
    }));
  };
  const timer = setInterval(publish, lagMs);
  return {
    stop: () => clearInterval(timer),
    published: () => published,
    askReboot: (hostId: string, requestName: string) => {
      if (!doneReboots.has(requestName)) reboots.set(hostId, requestName);
      doneReboots.add(requestName);
    },
    heard: (hosts: readonly HostReport[]) => {
      hosts.forEach((host) => known.set(host.hostId, { ...host, heardAtMs: performance.now() }));
      const due = hosts.filter(({ hostId }) => reboots.delete(hostId));
      return due.map(({ hostId }) => hostId);
    },
  };
};

const pause = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const installFaults = (app: FastifyInstance, current: () => PlatformFault) => {
  app.addHook('onRequest', async (request, reply) => {
    const { mode, delayMs = 0 } = current();
    if (request.url.startsWith('/stand-in/') || mode === 'none') return;
    if (mode === 'slow') await pause(delayMs);
    if (mode === 'down') {
      reply.hijack();
      request.raw.socket.destroy();
    }
  });
  app.addHook('onSend', async (request, _, payload) => {
    if (current().mode === 'lose-answers' && !request.url.startsWith('/stand-in/')) {
      request.raw.socket.destroy();
    }
    return payload;
  });
};

/**
 * Starts the stand-in.
 *
 * @param options - Where it listens and how far its list lags, in milliseconds.
 * @returns The running stand-in.
 */
export const startPlatform = async ({
  host = '127.0.0.1',
  port = 0,
  listLagMs = 500,
  hostGoneAfterMs = 3000,
}: PlatformOptions = {}): Promise<StandInPlatform> => {
  const app = fastify({ bodyLimit: 64 * 1024 * 1024 });
  const table = createTableModel();
  const hosts = createHostList(listLagMs, hostGoneAfterMs);
  const objects = new Map<string, unknown>();
  const counts = { transactions: 0, rowsWritten: 0, reads: 0 };
  let fault: PlatformFault = { mode: 'none' };
  const setFault = (next: PlatformFault) => {
    fault = next;
  };
  installFaults(app, () => fault);

  app.post('/table/read', (request, reply) => {
    const { keys } = request.body as { keys: readonly string[] };
    counts.reads += 1;
    return reply.send({ rows: keys.map(table.read) });
  });
  app.get('/table/scan', (request, reply) => {
    counts.reads += 1;
    return reply.send({ rows: table.scan((request.query as { prefix: string }).prefix) });
  });
  app.post('/table/transact', (request, reply) => {
    const { checks, writes } = request.body as { checks: RowCheck[]; writes: RowWrite[] };
    counts.transactions += 1;
    counts.rowsWritten += writes.length;
    return reply.send(table.transact(checks, writes));
  });
  app.put('/objects/:key', (request, reply) => {
    objects.set((request.params as { key: string }).key, request.body);
    return reply.send(null);
  });
  app.get('/objects/:key', (request, reply) =>
    reply.send({ value: objects.get((request.params as { key: string }).key) ?? null }),
  );
  app.get('/hosts', (_, reply) => reply.send({ hosts: hosts.published() }));
  app.post('/hosts/:hostId/reboot', (request, reply) => {
    const { hostId } = request.params as { hostId: string };
    hosts.askReboot(hostId, (request.body as { requestName: string }).requestName);
    return reply.send(null);
  });
  app.post('/hosts/heartbeat', (request, reply) =>
    reply.send({ reboot: hosts.heard((request.body as { hosts: HostReport[] }).hosts) }),
  );
  app.post('/stand-in/fault', (request, reply) => {
    setFault(request.body as PlatformFault);
    return reply.send(null);
  });
  app.get('/stand-in/counts', (_, reply) => reply.send(counts));

  const url = await app.listen({ host, port });
  const close = async () => {
    hosts.stop();
    app.server.closeAllConnections();
    await app.close();
  };
  return { url, setFault, counts, close };
};
