/** Tests that healthy links stay open and that links which go silent are ended and replaced. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import type { EntryId, Member } from '@valvelatch/core';
import { afterEach, describe, expect, it } from 'vitest';

import { createMesh, type Mesh } from './mesh.js';

const SILENT_AFTER_MS = 150;
const HEARTBEAT_MS = 40;

const memberOf = (entryId: string, meshUrl: string): Member => ({
  entryId: entryId as EntryId,
  dataCentre: 'dc' as Member['dataCentre'],
  incarnation: 1,
  status: 'alive',
  meshUrl,
  callersUrl: '',
  operatorsUrl: '',
});

describe('links of the mesh', () => {
  const closers: (() => unknown)[] = [];

  afterEach(async () => {
    await Promise.all(closers.splice(0).map((close) => close()));
  });

  const open = async (name: string, silent: string[] = []): Promise<Mesh> => {
    const mesh = await createMesh({
      host: '127.0.0.1',
      port: 0,
      key: 'k',
      self: () => memberOf(name, 'ws://127.0.0.1:1'),
      silentAfterMs: SILENT_AFTER_MS,
      handlers: {
        onMessage: () => undefined,
        onPeerHello: () => undefined,
        onPeerSilent: (peer) => silent.push(peer),
        answer: async (_, payload) => payload,
      },
    });
    const heartbeatTimer = setInterval(() => {
      mesh.sendHeartbeat({ type: 'heartbeat', revision: 0, membersHash: 0, ready: [] });
      mesh.closeSilentLinks();
    }, HEARTBEAT_MS);
    closers.push(() => {
      clearInterval(heartbeatTimer);
      return mesh.close();
    });
    return mesh;
  };

  /**
   * Starts a TCP proxy to a port. `silence` stops forwarding on the open connections without closing
   * them; later connections are forwarded.
   */
  const openProxy = async (port: number) => {
    const pairs = new Set<readonly [Socket, Socket]>();
    const server: Server = createServer((incoming) => {
      const outgoing = connect(port, '127.0.0.1');
      incoming.pipe(outgoing);
      outgoing.pipe(incoming);
      [incoming, outgoing].forEach((socket) => socket.on('error', () => undefined));
      pairs.add([incoming, outgoing]);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    closers.push(() => {
      pairs.forEach((pair) => pair.forEach((socket) => socket.destroy()));
      server.close();
    });
    return {
      url: `ws://127.0.0.1:${(server.address() as AddressInfo).port}`,
      silence: () =>
        pairs.forEach(([incoming, outgoing]) => {
          incoming.unpipe(outgoing);
          outgoing.unpipe(incoming);
          incoming.resume();
          outgoing.resume();
        }),
    };
  };

  const waitUntil = async (check: () => boolean): Promise<void> => {
    const deadlineMs = performance.now() + 5000;
    while (!check() && performance.now() < deadlineMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
  };

  it('stay open while both sides send heartbeats, also when both sides dialled', async () => {
    const silent: string[] = [];
    const [left, right] = [await open('left', silent), await open('right', silent)];
    left.dial(`ws://127.0.0.1:${right.port}`);
    right.dial(`ws://127.0.0.1:${left.port}`);
    await waitUntil(() => left.linkedPeers().length === 1 && right.linkedPeers().length === 1);
    const initialLinkCount = left.linkCount() + right.linkCount();
    await new Promise((resolve) => {
      setTimeout(resolve, 4 * SILENT_AFTER_MS);
    });
    expect([silent, left.linkCount() + right.linkCount()]).toEqual([[], initialLinkCount]);
  });

  it('are ended when they go silent without a TCP reset, and can be dialled again', async () => {
    const silent: string[] = [];
    const [left, right] = [await open('left', silent), await open('right')];
    const proxy = await openProxy(right.port);
    left.dial(proxy.url);
    await waitUntil(() => left.linkedPeers().length === 1);
    proxy.silence();
    await waitUntil(() => silent.length > 0);
    left.dial(proxy.url);
    await waitUntil(() => left.linkedPeers().length === 1);
    const answer = await left.ask(memberOf('right', proxy.url), 'echo', 5, 1000);
    expect([silent, answer]).toEqual([['right'], 5]);
  });
});
