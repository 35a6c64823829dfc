/**
 * The mesh between entries: a few links per entry, each watched by heartbeats in both directions.
 * What to say is decided elsewhere; this module keeps the links and carries the messages.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';

import type { EntryId, Member, MeshMessage } from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';
import { WebSocket, WebSocketServer } from 'ws';

import { decodeFrame, encodeFrame } from './frame.js';

/** A link to a peer. */
type Link = {
  readonly socket: WebSocket;
  /** Unknown until the peer has said hello. */
  peer: EntryId | null;
  heardAtMs: number;
  /** Questions that wait for an answer over this link. */
  readonly asked: Set<number>;
};

type PendingAsk = {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: Error) => void;
};

/** What the owner of the mesh does with what comes in. */
export type MeshHandlers = {
  readonly onMessage: (peer: EntryId, message: MeshMessage) => void;
  readonly onPeer: (member: Member) => void;
  readonly onSilent: (peer: EntryId) => void;
  readonly answer: (method: string, payload: unknown) => Promise<unknown>;
  /** Told of each frame that was sent or came in. */
  readonly onFrame?: (direction: 'sent' | 'received', bytes: number) => void;
};

export type MeshOptions = {
  readonly host: string;
  readonly port: number;
  /** The secret that all entries share. */
  readonly key: string;
  /** Gives this entry's record, once its address is known. */
  readonly self: () => Member;
  readonly handlers: MeshHandlers;
  readonly silentAfterMs?: number;
  readonly mostFrameBytes?: number;
  readonly nowMs?: () => number;
};

/** A running mesh. */
export type Mesh = {
  readonly port: number;
  readonly linkedPeers: () => readonly EntryId[];
  readonly send: (peer: EntryId, message: MeshMessage) => void;
  readonly broadcast: (message: MeshMessage, except?: EntryId) => void;
  /** Sends on every link, so that each is seen to live by both sides. */
  readonly beat: (message: MeshMessage) => void;
  readonly linkCount: () => number;
  readonly dial: (url: string) => void;
  /** Asks a member, over its link or over a connection of its own. */
  readonly ask: (member: Member, method: string, payload: unknown, ms: number) => Promise<unknown>;
  /** When a peer was heard over any link; never is -Infinity. */
  readonly heardAtMs: (peer: EntryId) => number;
  /** Finds links that have been silent and ends them. */
  readonly sweep: () => void;
  readonly close: () => Promise<void>;
};

const KEY_HEADER = 'valvelatch-mesh-key';
const DIAL_TIMEOUT_MS = 2000;

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const hasKey = (request: IncomingMessage, key: string): boolean => {
  const given = request.headers[KEY_HEADER];
  return typeof given === 'string' && timingSafeEqual(digest(given), digest(key));
};

/**
 * Opens the mesh: listens for peers and is ready to dial them.
 *
 * @param options - Where to listen, the key, and what to do with what comes in.
 * @returns The mesh.
 * @throws Where the address cannot be listened on.
 */
export const createMesh = async ({
  host,
  port,
  key,
  self,
  handlers,
  silentAfterMs = 3000,
  mostFrameBytes = 16 * 1024 * 1024,
  nowMs = () => performance.now(),
}: MeshOptions): Promise<Mesh> => {
  const links = new Set<Link>();
  const dialling = new Set<string>();
  const asks = new Map<number, PendingAsk>();
  let lastAskId = 0;

  const sendOn = (link: Link, message: MeshMessage): void => {
    if (link.socket.readyState !== WebSocket.OPEN) return;
    const frame = encodeFrame(message);
    handlers.onFrame?.('sent', frame.length);
    link.socket.send(frame);
  };

  const answerAsk = async (link: Link, askId: number, method: string, payload: unknown) => {
    try {
      const answer = await handlers.answer(method, payload);
      sendOn(link, { type: 'answer', askId, isOk: true, payload: answer });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      sendOn(link, { type: 'answer', askId, isOk: false, payload: detail });
    }
  };

  const settleAsk = (askId: number, isOk: boolean, payload: unknown): void => {
    const pending = asks.get(askId);
    asks.delete(askId);
    if (isOk) pending?.resolve(payload);
    else pending?.reject(new Error(String(payload)));
  };

  const receive = (link: Link, bytes: Uint8Array): void => {
    change(link, { heardAtMs: nowMs() });
    handlers.onFrame?.('received', bytes.length);
    const message = decodeFrame(bytes);
    if (!message) return;
    if (message.type === 'hello') {
      change(link, { peer: message.member.entryId });
      handlers.onPeer(message.member);
    } else if (message.type === 'ask') {
      void answerAsk(link, message.askId, message.method, message.payload);
    } else if (message.type === 'answer') {
      settleAsk(message.askId, message.isOk, message.payload);
    } else if (link.peer !== null) {
      handlers.onMessage(link.peer, message);
    }
  };

  const forget = (link: Link): void => {
    links.delete(link);
    link.asked.forEach((askId) => settleAsk(askId, false, 'the link was closed'));
  };

  const adopt = (socket: WebSocket): Link => {
    const link: Link = { socket, peer: null, heardAtMs: nowMs(), asked: new Set() };
    links.add(link);
    socket.on('message', (data: Buffer) => receive(link, data));
    socket.on('error', () => socket.terminate());
    socket.on('close', () => forget(link));
    return link;
  };

  const server = new WebSocketServer({
    host,
    port,
    maxPayload: mostFrameBytes,
    verifyClient: ({ req }: { req: IncomingMessage }) => hasKey(req, key),
  });
  await once(server, 'listening');
  server.on('connection', (socket) => {
    sendOn(adopt(socket), { type: 'hello', member: self() });
  });

  const open = (url: string): WebSocket =>
    new WebSocket(url, {
      headers: { [KEY_HEADER]: key },
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: mostFrameBytes,
    });

  const dial = (url: string): void => {
    if (dialling.has(url)) return;
    dialling.add(url);
    const socket = open(url);
    const link = adopt(socket);
    socket.on('open', () => {
      link.heardAtMs = nowMs();
      sendOn(link, { type: 'hello', member: self() });
    });
    socket.on('close', () => dialling.delete(url));
  };

  const linkTo = (peer: EntryId): Link | undefined =>
    Array.from(links).find(
      (link) => link.peer === peer && link.socket.readyState === WebSocket.OPEN,
    );

  const askOver = (link: Link, method: string, payload: unknown, ms: number): Promise<unknown> => {
    lastAskId += 1;
    const askId = lastAskId;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => settleAsk(askId, false, `no answer in ${ms} ms`), ms);
      const settled = () => {
        clearTimeout(timer);
        link.asked.delete(askId);
      };
      link.asked.add(askId);
      asks.set(askId, {
        resolve: (value) => {
          settled();
          resolve(value);
        },
        reject: (error) => {
          settled();
          reject(error);
        },
      });
      sendOn(link, { type: 'ask', askId, method, payload });
    });
  };

  const ask = async (member: Member, method: string, payload: unknown, ms: number) => {
    const link = linkTo(member.entryId);
    if (link) return askOver(link, method, payload, ms);
    const socket = open(member.meshUrl);
    const temporary = adopt(socket);
    try {
      await once(socket, 'open');
      return await askOver(temporary, method, payload, ms);
    } finally {
      socket.terminate();
    }
  };

  const sweep = (): void => {
    links.forEach((link) => {
      if (nowMs() - link.heardAtMs < silentAfterMs) return;
      link.socket.terminate();
      links.delete(link);
      if (link.peer !== null && !linkTo(link.peer)) handlers.onSilent(link.peer);
    });
  };

  const close = async (): Promise<void> => {
    links.forEach(({ socket }) => socket.terminate());
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  };

  return {
    port: (server.address() as AddressInfo).port,
    linkedPeers: () =>
      Array.from(new Set(Array.from(links).flatMap(({ peer }) => (peer === null ? [] : [peer])))),
    send: (peer, message) => {
      const link = linkTo(peer);
      if (link) sendOn(link, message);
    },
    broadcast: (message, except) => {
      const reached = new Set<EntryId>();
      links.forEach((link) => {
        if (link.peer === null || link.peer === except || reached.has(link.peer)) return;
        reached.add(link.peer);
        sendOn(link, message);
      });
    },
    beat: (message) => links.forEach((link) => sendOn(link, message)),
    linkCount: () => links.size,
    dial,
    ask,
    heardAtMs: (peer) =>
      Math.max(
        -Infinity,
        ...Array.from(links)
          .filter((link) => link.peer === peer)
          .map(({ heardAtMs }) => heardAtMs),
      ),
    sweep,
    close,
  };
};
