/** Membership and configuration over the mesh: decides which messages to send to which peer. */
import {
  createMembership,
  isSelectedForDuty,
  leaveMembership,
  liveMembers,
  membershipHash,
  suspectSilentPeer,
  pickRandom,
  orderByRendezvous,
  mergeGossip,
  applyMembershipTimeouts,
  selectLinks,
  type ConfigurationDelta,
  type EntryId,
  type HeartbeatMessage,
  type Member,
  type MembershipUpdate,
  type MeshMessage,
  type Rng,
  toSnapshot,
  type ServiceName,
} from '@valvelatch/core';
import { createMesh, type Mesh } from '@valvelatch/mesh';

import type { ConfigSync } from '../config-sync/config-sync.js';
import type { RemoteEntry } from '../data-path/request-types.js';
import type { Log } from '../observe/log.js';

/** Connection of one entry to the others. */
export type MeshLink = {
  /** The port on which the mesh listens. */
  readonly port: number;
  /** The entries that are alive as far as this entry knows, itself included. */
  readonly members: () => readonly Member[];
  /** Calls a method of another entry. */
  readonly ask: Mesh['ask'];
  /**
   * Whether this entry is one of the `count` entries of its data centre that have a duty. More entries may consider
   * themselves to have it for a while.
   */
  readonly hasDuty: (duty: string, count: number) => boolean;
  /** Whether this entry is one of the few among all data centres that compete for a duty. */
  readonly isGlobalDutyCandidate: (duty: string) => boolean;
  /**
   * A random linked entry that has ready endpoints of a service, from the own data centre if there is one there;
   * undefined if there is none.
   */
  readonly pickReadyEntry: (service: ServiceName) => RemoteEntry | undefined;
  /** Sends deltas of the configuration to all linked entries. */
  readonly broadcastDeltas: (deltas: readonly ConfigurationDelta[]) => void;
  /** Starts to join the other entries; must be called once the own addresses are known. */
  readonly join: () => void;
  /** Updates the membership, opens missing links and sends a heartbeat. */
  readonly tick: () => void;
  /** Announces that this entry leaves. */
  readonly leave: () => void;
  readonly close: () => Promise<void>;
};

export type MeshLinkOptions = {
  readonly host: string;
  readonly port: number;
  readonly key: string;
  /** Mesh addresses of entries through which this entry joins. */
  readonly seeds: readonly string[];
  /** Returns the member record of this entry, which contains its addresses once they are known. */
  readonly member: () => Member;
  readonly configSync: ConfigSync;
  /** The services for which this entry has ready endpoints. */
  readonly readyServices: () => readonly ServiceName[];
  /** Handlers of the methods that other entries can call, by method name. */
  readonly askHandlers: Readonly<Record<string, (payload: never) => unknown>>;
  readonly rng: Rng;
  readonly log: Log;
};

/** Entries that compete for a duty which only one entry among all data centres should have. */
const GLOBAL_DUTY_CANDIDATES = 3;

/** Content of the last heartbeat of a linked entry: its revision and the services for which it has endpoints. */
type PeerState = { readonly revision: number; readonly ready: ReadonlySet<string> };
type MessageOf<Type extends MeshMessage['type']> = Extract<MeshMessage, { type: Type }>;
type MessageHandlers = {
  readonly [Type in MeshMessage['type']]: (peer: EntryId, message: MessageOf<Type>) => void;
};

/**
 * Opens the mesh and maintains the membership over it.
 *
 * @param options - Where to listen, which entries to join through, and what this entry reports about itself.
 * @returns The link, which has not joined yet.
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
  const peerStates = new Map<EntryId, PeerState>();
  let membership = createMembership(member(), nowMs());
  let hasJoined = false;

  /** Applies a step of the membership and sends its changes to all peers but the one that they came from. */
  const applyStep = (step: MembershipUpdate, from?: EntryId): void => {
    membership = step.state;
    if (step.changedMembers.length === 0) return;
    step.changedMembers.forEach(({ entryId, status, dataCentre }) =>
      log.info('member', { member: entryId, status, dataCentre }),
    );
    mesh.broadcast({ type: 'gossip', members: step.changedMembers }, from);
  };

  /** Sends all known members, so that the peer also learns of changes whose gossip was lost. */
  const sendAllMembers = (peer: EntryId): void => {
    const known = Array.from(membership.members.values(), (one) => one.member);
    mesh.send(peer, { type: 'gossip', members: known });
  };

  /** Sends the deltas after the revision that the peer has, or a snapshot if they are not in memory any more. */
  const catchUpPeer = (peer: EntryId, have: number): void => {
    const deltas = configSync.deltasAfter(have);
    if (deltas === undefined) {
      mesh.send(peer, { type: 'snapshot', snapshot: toSnapshot(configSync.current()) });
    } else if (deltas.length > 0) {
      mesh.send(peer, { type: 'deltas', deltas });
    }
  };

  /** Requests what is missing if the peer has a newer revision. */
  const requestMissingDeltas = (peer: EntryId, revision: number): void => {
    const have = configSync.current().revision;
    if (revision > have) mesh.send(peer, { type: 'catch-up', have });
  };

  const handlers: MessageHandlers = {
    hello: () => undefined,
    ask: () => undefined,
    answer: () => undefined,
    heartbeat: (peer, { revision, ready, membersHash }) => {
      peerStates.set(peer, { revision, ready: new Set(ready) });
      requestMissingDeltas(peer, revision);
      if (membersHash !== membershipHash(membership)) sendAllMembers(peer);
    },
    gossip: (peer, { members }) => applyStep(mergeGossip(membership, members, nowMs()), peer),
    deltas: (peer, { deltas }) => {
      configSync.applyPeerDeltas(deltas);
      const newest = deltas[deltas.length - 1]?.revision ?? 0;
      requestMissingDeltas(peer, newest);
    },
    'catch-up': (peer, { have }) => catchUpPeer(peer, have),
    snapshot: (_, { snapshot }) => configSync.applyPeerSnapshot(snapshot),
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
      onPeerHello: (peer) => {
        applyStep(mergeGossip(membership, [peer], nowMs()));
        sendAllMembers(peer.entryId);
        mesh.send(peer.entryId, heartbeat());
      },
      onPeerSilent: (peer) => applyStep(suspectSilentPeer(membership, peer, nowMs())),
      answer: async (method, payload) => {
        const handler = Object.hasOwn(askHandlers, method) ? askHandlers[method] : undefined;
        if (!handler) throw new Error(`no method '${method}'`);
        return handler(payload as never);
      },
    },
  });

  const members = () => liveMembers(membership);

  const dialMissingPeers = (): void => {
    const linked = new Set(mesh.linkedPeers());
    const wanted = selectLinks(membership).filter((peer) => !linked.has(peer));
    wanted.forEach((peer) => {
      const known = membership.members.get(peer)?.member;
      if (known && known.meshUrl !== '') mesh.dial(known.meshUrl);
    });
    if (members().length === 1 || linked.size === 0) seeds.forEach(mesh.dial);
  };

  /** Drops the heartbeats of peers without a link, because the services that they listed may no longer be ready. */
  const removeUnlinkedPeers = (): void => {
    const linked = new Set(mesh.linkedPeers());
    Array.from(peerStates.keys())
      .filter((peer) => !linked.has(peer))
      .forEach((peer) => peerStates.delete(peer));
  };

  const tick = (): void => {
    if (!hasJoined) return;
    mesh.closeSilentLinks();
    applyStep(applyMembershipTimeouts(membership, nowMs()));
    removeUnlinkedPeers();
    dialMissingPeers();
    mesh.broadcast(heartbeat());
  };

  const pickReadyEntry = (service: ServiceName): RemoteEntry | undefined => {
    const readyEntries = members().filter(({ entryId }) =>
      peerStates.get(entryId)?.ready.has(service),
    );
    const localEntries = readyEntries.filter(
      ({ dataCentre }) => dataCentre === member().dataCentre,
    );
    return pickRandom(localEntries.length > 0 ? localEntries : readyEntries, rng);
  };

  return {
    port: mesh.port,
    members,
    ask: mesh.ask,
    hasDuty: (duty, count) => isSelectedForDuty(membership, duty, count),
    isGlobalDutyCandidate: (duty) =>
      orderByRendezvous(
        duty,
        members().map(({ entryId }) => entryId),
      )
        .slice(0, GLOBAL_DUTY_CANDIDATES)
        .includes(membership.self),
    pickReadyEntry,
    broadcastDeltas: (deltas) => {
      if (deltas.length > 0) mesh.broadcast({ type: 'deltas', deltas });
    },
    join: () => {
      hasJoined = true;
      membership = createMembership(member(), nowMs());
      seeds.forEach(mesh.dial);
    },
    tick,
    leave: () => applyStep(leaveMembership(membership, nowMs())),
    close: mesh.close,
  };
};
