/** A stand-in for the platform's table, object store and host list, which lags. */
import { createTableModel, type RowCheck, type RowWrite } from '@valvelatch/core';
import fastify, { type FastifyInstance } from 'fastify';

type HostReport = {
  readonly hostId: string;
  readonly state: 'live' | 'leaving';
  readonly boots: number;
};
type KnownHost = HostReport & { readonly lastHeartbeatMs: number };

/** The current fault of the platform. */
export type PlatformFault = {
  /**
   * `down`: connections are closed at once. `slow`: requests are delayed by `delayMs`.
   * `lose-answers`: requests are executed, but their responses are lost.
   */
  readonly mode: 'none' | 'down' | 'slow' | 'lose-answers';
  readonly delayMs?: number;
};

/** Options for the stand-in. */
export type PlatformOptions = {
  readonly host?: string;
  readonly port?: number;
  /** How long the host list lags behind the heartbeats, at most. */
  readonly listLagMs?: number;
  /** A host without a heartbeat for this long is listed as gone. */
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
  const pendingReboots = new Map<string, string>();
  const requestedReboots = new Set<string>();
  let published: readonly unknown[] = [];
  const publish = () => {
    const nowMs = performance.now();
    published = Array.from(known.values(), ({ hostId, state, boots, lastHeartbeatMs }) => ({
      hostId,
      boots,
      state: nowMs - lastHeartbeatMs > goneAfterMs ? 'gone' : state,
    }));
  };
  const timer = setInterval(publish, lagMs);
  return {
    stop: () => clearInterval(timer),
    published: () => published,
    requestReboot: (hostId: string, requestName: string) => {
      if (!requestedReboots.has(requestName)) pendingReboots.set(hostId, requestName);
      requestedReboots.add(requestName);
    },
    /** Records heartbeats and returns the hosts that must reboot. */
    recordHeartbeats: (hosts: readonly HostReport[]) => {
      hosts.forEach((host) =>
        known.set(host.hostId, { ...host, lastHeartbeatMs: performance.now() }),
      );
      const toReboot = hosts.filter(({ hostId }) => pendingReboots.delete(hostId));
      return toReboot.map(({ hostId }) => hostId);
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
 * @param options - The address to listen on and the delays of the host list in milliseconds.
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
  const setFault = (newFault: PlatformFault) => {
    fault = newFault;
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
    hosts.requestReboot(hostId, (request.body as { requestName: string }).requestName);
    return reply.send(null);
  });
  app.post('/hosts/heartbeat', (request, reply) =>
    reply.send({ reboot: hosts.recordHeartbeats((request.body as { hosts: HostReport[] }).hosts) }),
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
