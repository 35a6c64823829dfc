/**
 * The mesh between entries: each entry keeps a few WebSocket links, and heartbeats in both directions
 * detect links that have gone silent. This module manages the links and delivers messages; its caller
 * decides which messages to send and when.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';

import type { EntryId, Member, MeshMessage } from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';
import { WebSocket, WebSocketServer } from 'ws';

import { decodeFrame, encodeFrame } from './frame.js';
import { createWriteBatch, type WriteBatch } from './write-batch.js';

/** One WebSocket connection to a peer. */
type Link = {
  readonly socket: WebSocket;
  /** Collects the frames of one turn of the event loop; null until the connection is open. */
  batch: WriteBatch | null;
  /** The entry on the other side; null until its `hello` message has arrived. */
  peer: EntryId | null;
  /** When the last frame arrived, or when the link was created or opened, by `nowMs`. */
  lastReceivedAtMs: number;
  /** Ids of the asks sent over this link that have no answer yet. */
  readonly pendingAskIds: Set<number>;
};

type PendingAsk = {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: Error) => void;
};

/** Callbacks for messages and link events. */
export type MeshHandlers = {
  /** Called for each message other than `hello`, `ask` and `answer`. */
  readonly onMessage: (peer: EntryId, message: MeshMessage) => void;
  /** Called with the record of the peer when its `hello` message arrives. */
  readonly onPeerHello: (member: Member) => void;
  /** Called when a peer's silent link was ended and no open link to that peer remains. */
  readonly onPeerSilent: (peer: EntryId) => void;
  /** Computes the answer to an ask; a rejection is sent back as a failed answer. */
  readonly answer: (method: string, payload: unknown) => Promise<unknown>;
  /** Called with the size of each frame that is sent or received. */
  readonly onFrame?: (direction: 'sent' | 'received', bytes: number) => void;
};

export type MeshOptions = {
  readonly host: string;
  readonly port: number;
  /** The secret that all entries share; connections without it are refused. */
  readonly key: string;
  /** Returns this entry's member record, which is sent in `hello`; called on each new link. */
  readonly self: () => Member;
  readonly handlers: MeshHandlers;
  /** A link on which nothing has arrived for this long is ended. */
  readonly silentAfterMs?: number;
  /** Largest frame that is accepted, in bytes. */
  readonly maxFrameBytes?: number;
  /** Monotonic clock in milliseconds. */
  readonly nowMs?: () => number;
};

/** A running mesh. */
export type Mesh = {
  readonly port: number;
  /** Peers whose `hello` has arrived on a current link, each listed once. */
  readonly linkedPeers: () => readonly EntryId[];
  /** Sends a message to a peer; does nothing when no link to the peer is open. */
  readonly send: (peer: EntryId, message: MeshMessage) => void;
  /** Sends a message once to each linked peer, except the given one. */
  readonly broadcast: (message: MeshMessage, except?: EntryId) => void;
  /** Sends a heartbeat on every link, so that neither side considers the link silent. */
  readonly sendHeartbeat: (message: MeshMessage) => void;
  /** Number of links, including those whose peer is not known yet. */
  readonly linkCount: () => number;
  /** Opens a link to an address, unless a link dialled to that address already exists. */
  readonly dial: (url: string) => void;
  /**
   * Sends a request to a member over an open link, or over a temporary connection when there is none.
   * Rejects when the request fails or no answer arrives within `ms`.
   */
  readonly ask: (member: Member, method: string, payload: unknown, ms: number) => Promise<unknown>;
  /** When a frame last arrived from a peer on any current link; -Infinity without such a link. */
  readonly lastReceivedAtMs: (peer: EntryId) => number;
  /** Ends the links on which nothing has arrived for `silentAfterMs`. */
  readonly closeSilentLinks: () => void;
  readonly close: () => Promise<void>;
};

const KEY_HEADER = 'valvelatch-mesh-key';
const DIAL_TIMEOUT_MS = 2000;

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const hasKey = (request: IncomingMessage, key: string): boolean => {
  const presentedKey = request.headers[KEY_HEADER];
  return typeof presentedKey === 'string' && timingSafeEqual(digest(presentedKey), digest(key));
};

/**
 * Starts listening for connections from peers. Links to other entries are opened with `dial`.
 *
 * @param options - The address to listen on, the shared key, the callbacks and the limits.
 * @returns The running mesh.
 * @throws When the address cannot be listened on.
 */
export const createMesh = async ({
  host,
  port,
  key,
  self,
  handlers,
  silentAfterMs = 3000,
  maxFrameBytes = 16 * 1024 * 1024,
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
    link.batch?.begin();
    link.socket.send(frame);
  };

  const answerRequest = async (link: Link, askId: number, method: string, payload: unknown) => {
    try {
      const answer = await handlers.answer(method, payload);
      sendOn(link, { type: 'answer', askId, isOk: true, payload: answer });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      sendOn(link, { type: 'answer', askId, isOk: false, payload: detail });
    }
  };

  const completeAsk = (askId: number, isOk: boolean, payload: unknown): void => {
    const pending = asks.get(askId);
    asks.delete(askId);
    if (isOk) pending?.resolve(payload);
    else pending?.reject(new Error(String(payload)));
  };

  const receive = (link: Link, bytes: Uint8Array): void => {
    change(link, { lastReceivedAtMs: nowMs() });
    handlers.onFrame?.('received', bytes.length);
    const message = decodeFrame(bytes);
    if (!message) return;
    if (message.type === 'hello') {
      change(link, { peer: message.member.entryId });
      handlers.onPeerHello(message.member);
    } else if (message.type === 'ask') {
      void answerRequest(link, message.askId, message.method, message.payload);
    } else if (message.type === 'answer') {
      completeAsk(message.askId, message.isOk, message.payload);
    } else if (link.peer !== null) {
      handlers.onMessage(link.peer, message);
    }
  };

  const removeLink = (link: Link): void => {
    links.delete(link);
    link.pendingAskIds.forEach((askId) => completeAsk(askId, false, 'the link was closed'));
  };

  const createLink = (socket: WebSocket, connection: Socket | null = null): Link => {
    const link: Link = {
      socket,
      batch: connection && createWriteBatch(connection),
      peer: null,
      lastReceivedAtMs: nowMs(),
      pendingAskIds: new Set(),
    };
    links.add(link);
    socket.on('message', (data: Buffer) => receive(link, data));
    socket.on('upgrade', (response) => change(link, { batch: createWriteBatch(response.socket) }));
    socket.on('error', () => socket.terminate());
    socket.on('close', () => removeLink(link));
    return link;
  };

  const server = new WebSocketServer({
    host,
    port,
    maxPayload: maxFrameBytes,
    verifyClient: ({ req }: { req: IncomingMessage }) => hasKey(req, key),
  });
  await once(server, 'listening');
  server.on('connection', (socket, request) => {
    sendOn(createLink(socket, request.socket), { type: 'hello', member: self() });
  });

  const openSocket = (url: string): WebSocket =>
    new WebSocket(url, {
      headers: { [KEY_HEADER]: key },
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: maxFrameBytes,
    });

  const dial = (url: string): void => {
    if (dialling.has(url)) return;
    dialling.add(url);
    const socket = openSocket(url);
    const link = createLink(socket);
    socket.on('open', () => {
      link.lastReceivedAtMs = nowMs();
      sendOn(link, { type: 'hello', member: self() });
    });
    socket.on('close', () => dialling.delete(url));
  };

  const findOpenLink = (peer: EntryId): Link | undefined =>
    Array.from(links).find(
      (link) => link.peer === peer && link.socket.readyState === WebSocket.OPEN,
    );

  const askOverLink = (
    link: Link,
    method: string,
    payload: unknown,
    ms: number,
  ): Promise<unknown> => {
    lastAskId += 1;
    const askId = lastAskId;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => completeAsk(askId, false, `no answer in ${ms} ms`), ms);
      const cleanUp = () => {
        clearTimeout(timer);
        link.pendingAskIds.delete(askId);
      };
      link.pendingAskIds.add(askId);
      asks.set(askId, {
        resolve: (value) => {
          cleanUp();
          resolve(value);
        },
        reject: (error) => {
          cleanUp();
          reject(error);
        },
      });
      sendOn(link, { type: 'ask', askId, method, payload });
    });
  };

  const ask = async (member: Member, method: string, payload: unknown, ms: number) => {
    const link = findOpenLink(member.entryId);
    if (link) return askOverLink(link, method, payload, ms);
    const socket = openSocket(member.meshUrl);
    const temporaryLink = createLink(socket);
    try {
      await once(socket, 'open');
      return await askOverLink(temporaryLink, method, payload, ms);
    } finally {
      socket.terminate();
    }
  };

  const closeSilentLinks = (): void => {
    links.forEach((link) => {
      if (nowMs() - link.lastReceivedAtMs < silentAfterMs) return;
      link.socket.terminate();
      links.delete(link);
      if (link.peer !== null && !findOpenLink(link.peer)) handlers.onPeerSilent(link.peer);
    });
  };

  const close = async (): Promise<void> => {
    links.forEach(({ batch, socket }) => {
      batch?.flush();
      socket.terminate();
    });
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  };

  return {
    port: (server.address() as AddressInfo).port,
    linkedPeers: () =>
      Array.from(new Set(Array.from(links).flatMap(({ peer }) => (peer === null ? [] : [peer])))),
    send: (peer, message) => {
      const link = findOpenLink(peer);
      if (link) sendOn(link, message);
    },
    broadcast: (message, except) => {
      const sentTo = new Set<EntryId>();
      links.forEach((link) => {
        if (link.peer === null || link.peer === except || sentTo.has(link.peer)) return;
        sentTo.add(link.peer);
        sendOn(link, message);
      });
    },
    sendHeartbeat: (message) => links.forEach((link) => sendOn(link, message)),
    linkCount: () => links.size,
    dial,
    ask,
    lastReceivedAtMs: (peer) =>
      Math.max(
        -Infinity,
        ...Array.from(links)
          .filter((link) => link.peer === peer)
          .map(({ lastReceivedAtMs }) => lastReceivedAtMs),
      ),
    closeSilentLinks,
    close,
  };
};
