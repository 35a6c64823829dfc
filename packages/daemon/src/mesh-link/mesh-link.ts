/** Membership and configuration over the mesh: decides what to say to which peer. */
import {
  createMembership,
  hasDuty,
  leaveMembership,
  liveMembers,
  membershipHash,
  noteSilent,
  pick,
  rendezvousOrder,
  takeGossip,
  tickMembership,
  wantedLinks,
  type ConfigurationDelta,
  type EntryId,
  type HeartbeatMessage,
  type Member,
  type MembershipStep,
  type MeshMessage,
  type Rng,
  toSnapshot,
  type ServiceName,
} from '@valvelatch/core';
import { createMesh, type Mesh } from '@valvelatch/mesh';

import type { ConfigSync } from '../config-sync/config-sync.js';
import type { RemoteEntry } from '../data-path/request-types.js';
import type { Log } from '../observe/log.js';

/** The link of one entry to the others. */
export type MeshLink = {
  readonly port: number;
  readonly members: () => readonly Member[];
  readonly ask: Mesh['ask'];
  readonly hasDuty: (duty: string, count: number) => boolean;
  /** Like `hasDuty`, over all data centres. */
  readonly hasGlobalDuty: (duty: string) => boolean;
  /** A linked entry that has endpoints of a service: of the own data centre if there is one. */
  readonly otherEntry: (service: ServiceName) => RemoteEntry | undefined;
  readonly spreadDeltas: (deltas: readonly ConfigurationDelta[]) => void;
  /** Begins to join: the own addresses are known from now on. */
  readonly join: () => void;
  readonly tick: () => void;
  readonly leave: () => void;
  readonly close: () => Promise<void>;
};

export type MeshLinkOptions = {
  readonly host: string;
  readonly port: number;
  readonly key: string;
  readonly seeds: readonly string[];
  readonly member: () => Member;
  readonly configSync: ConfigSync;
  readonly readyServices: () => readonly ServiceName[];
  readonly askHandlers: Readonly<Record<string, (payload: never) => unknown>>;
  readonly rng: Rng;
  readonly log: Log;
};

/** Entries that contend for a duty which one of all should do. */
const GLOBAL_DUTY_CANDIDATES = 3;

type Heard = { readonly revision: number; readonly ready: ReadonlySet<string> };
type MessageOf<Type extends MeshMessage['type']> = Extract<MeshMessage, { type: Type }>;
type MessageHandlers = {
  readonly [Type in MeshMessage['type']]: (peer: EntryId, message: MessageOf<Type>) => void;
};

/**
 * Opens the mesh and keeps membership on it.
 *
 * @param options - Where to listen, whom to join, and what the entry has to say.
 * @returns The link.
 */
export const createMeshLink = async ({
  host,
  port,
  key,
  seeds,
  member,
  configSync,
  readyServices,
  askHandlers,
  rng,
  log,
}: MeshLinkOptions): Promise<MeshLink> => {
  const nowMs = () => performance.now();
  const heard = new Map<EntryId, Heard>();
  let membership = createMembership(member(), nowMs());
  let hasJoined = false;

  const take = (step: MembershipStep, from?: EntryId): void => {
    membership = step.state;
    if (step.news.length === 0) return;
    step.news.forEach(({ entryId, status, dataCentre }) =>
      log.info('member', { member: entryId, status, dataCentre }),
    );
    mesh.broadcast({ type: 'gossip', members: step.news }, from);
  };

  /** Repairs what news that was lost has left different. */
  const sendWholeList = (peer: EntryId): void => {
    const known = Array.from(membership.members.values(), (one) => one.member);
    mesh.send(peer, { type: 'gossip', members: known });
  };

  const catchUpPeer = (peer: EntryId, have: number): void => {
    const deltas = configSync.deltasAfter(have);
    if (deltas === undefined) {
      mesh.send(peer, { type: 'snapshot', snapshot: toSnapshot(configSync.current()) });
    } else if (deltas.length > 0) {
      mesh.send(peer, { type: 'deltas', deltas });
    }
  };

  const askIfBehind = (peer: EntryId, revision: number): void => {
    const have = configSync.current().revision;
    if (revision > have) mesh.send(peer, { type: 'catch-up', have });
  };

  const handlers: MessageHandlers = {
    hello: () => undefined,
    ask: () => undefined,
    answer: () => undefined,
    heartbeat: (peer, { revision, ready, membersHash }) => {
      heard.set(peer, { revision, ready: new Set(ready) });
      askIfBehind(peer, revision);
      if (membersHash !== membershipHash(membership)) sendWholeList(peer);
    },
    gossip: (peer, { members }) => take(takeGossip(membership, members, nowMs()), peer),
    deltas: (peer, { deltas }) => {
      configSync.takeFromPeer(deltas);
      const newest = deltas[deltas.length - 1]?.revision ?? 0;
      askIfBehind(peer, newest);
    },
    'catch-up': (peer, { have }) => catchUpPeer(peer, have),
    snapshot: (_, { snapshot }) => configSync.takeSnapshotFromPeer(snapshot),
  };

  const heartbeat = (): HeartbeatMessage => ({
    type: 'heartbeat',
    revision: configSync.current().revision,
    membersHash: membershipHash(membership),
    ready: readyServices(),
  });

  const mesh: Mesh = await createMesh({
    host,
    port,
    key,
    self: member,
    handlers: {
      onMessage: (peer, message) =>
        (handlers[message.type] as (from: EntryId, one: MeshMessage) => void)(peer, message),
      onPeer: (peer) => {
        take(takeGossip(membership, [peer], nowMs()));
        sendWholeList(peer.entryId);
        mesh.send(peer.entryId, heartbeat());
      },
      onSilent: (peer) => take(noteSilent(membership, peer, nowMs())),
      answer: async (method, payload) => {
        const handler = Object.hasOwn(askHandlers, method) ? askHandlers[method] : undefined;
        if (!handler) throw new Error(`no method '${method}'`);
        return handler(payload as never);
      },
    },
  });

  const members = () => liveMembers(membership);

  const dialWanted = (): void => {
    const linked = new Set(mesh.linkedPeers());
    const wanted = wantedLinks(membership).filter((peer) => !linked.has(peer));
    wanted.forEach((peer) => {
      const known = membership.members.get(peer)?.member;
      if (known && known.meshUrl !== '') mesh.dial(known.meshUrl);
    });
    if (members().length === 1 || linked.size === 0) seeds.forEach(mesh.dial);
  };

  /** Peers that are linked no more are forgotten; only live links say who is ready. */
  const forgetUnlinked = (): void => {
    const linked = new Set(mesh.linkedPeers());
    Array.from(heard.keys())
      .filter((peer) => !linked.has(peer))
      .forEach((peer) => heard.delete(peer));
  };

  const tick = (): void => {
    if (!hasJoined) return;
    mesh.sweep();
    take(tickMembership(membership, nowMs()));
    forgetUnlinked();
    dialWanted();
    mesh.broadcast(heartbeat());
  };

  const otherEntry = (service: ServiceName): RemoteEntry | undefined => {
    const able = members().filter(({ entryId }) => heard.get(entryId)?.ready.has(service));
    const local = able.filter(({ dataCentre }) => dataCentre === member().dataCentre);
    return pick(local.length > 0 ? local : able, rng);
  };

  return {
    port: mesh.port,
    members,
    ask: mesh.ask,
    hasDuty: (duty, count) => hasDuty(membership, duty, count),
    hasGlobalDuty: (duty) =>
      rendezvousOrder(
        duty,
        members().map(({ entryId }) => entryId),
      )
        .slice(0, GLOBAL_DUTY_CANDIDATES)
        .includes(membership.self),
    otherEntry,
    spreadDeltas: (deltas) => {
      if (deltas.length > 0) mesh.broadcast({ type: 'deltas', deltas });
    },
    join: () => {
      hasJoined = true;
      membership = createMembership(member(), nowMs());
      seeds.forEach(mesh.dial);
    },
    tick,
    leave: () => take(leaveMembership(membership, nowMs())),
    close: mesh.close,
  };
};
