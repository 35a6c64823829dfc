/**
 * Simulates many members in one process. Each has its own state; messages are delivered one step
 * later.
 */
import {
  brand,
  createMembership,
  leaveMembership,
  liveMembers,
  membershipHash,
  suspectSilentPeer,
  mergeGossip,
  applyMembershipTimeouts,
  selectLinks,
  type DataCentreId,
  type EntryId,
  type Member,
  type Membership,
  type MembershipUpdate,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';
import { encodeFrame } from '@valvelatch/mesh';

/** The messages and bytes that a member has sent so far. */
export type Traffic = { messages: number; bytes: number };

type Node = {
  readonly id: EntryId;
  membership: Membership;
  isUp: boolean;
  inbox: { readonly from: EntryId; readonly members: readonly Member[] }[];
  readonly heardMs: Map<EntryId, number>;
  readonly traffic: Traffic;
  /**
   * Values derived from the membership `from`; they are computed again when the membership has
   * changed.
   */
  derived: { readonly from: Membership; readonly links: readonly EntryId[]; readonly hash: number };
};

/** A running simulation of members. */
export type MembershipModel = {
  /** Advances the time of all members by one step. */
  readonly step: () => void;
  readonly nowMs: () => number;
  readonly add: (dataCentre: number) => EntryId;
  readonly kill: (id: EntryId) => void;
  readonly leave: (id: EntryId) => void;
  readonly ids: () => readonly EntryId[];
  /** True if every live member considers exactly the live members alive. */
  readonly hasConverged: () => boolean;
  /** The number of links of the member with the most links. */
  readonly maxLinks: () => number;
  readonly traffic: () => readonly Traffic[];
};

const STEP_MS = 250;
const SILENCE_TIMEOUT_MS = 3000;
/** Heartbeats are sent on each link once per second. */
const STEPS_PER_HEARTBEAT = 4;
const HEARTBEAT_BYTES = encodeFrame({
  type: 'heartbeat',
  revision: 81_000,
  membersHash: 2 ** 31,
  ready: [],
}).length;

/**
 * Builds a model.
 *
 * @param dataCentres - The number of data centres.
 * @param membersEach - The initial number of members per data centre.
 * @returns The model; every member knows all members.
 */
export const createMembershipModel = (
  dataCentres: number,
  membersEach: number,
): MembershipModel => {
  const nodes = new Map<EntryId, Node>();
  let nowMs = 0;
  let steps = 0;
  let lastName = 0;

  const toMember = (dataCentre: number): Member => {
    lastName += 1;
    const entryId = brand<EntryId>(`dc${dataCentre}-entry-${lastName}`);
    return {
      entryId,
      dataCentre: brand<DataCentreId>(`dc${dataCentre}`),
      incarnation: 1,
      status: 'alive',
      meshUrl: `ws://10.0.${dataCentre}.1:7003`,
      callersUrl: `http://10.0.${dataCentre}.1:7001`,
      operatorsUrl: `http://10.0.${dataCentre}.1:7002`,
    };
  };

  const derive = (membership: Membership): Node['derived'] => ({
    from: membership,
    links: selectLinks(membership),
    hash: membershipHash(membership),
  });

  const refreshDerived = (node: Node): Node['derived'] => {
    const { membership } = node;
    if (node.derived.from !== membership) change(node, { derived: derive(membership) });
    return node.derived;
  };

  const toNode = (member: Member, known: readonly Member[]): Node => {
    const membership = mergeGossip(createMembership(member, nowMs), known, nowMs).state;
    return {
      id: member.entryId,
      membership,
      isUp: true,
      inbox: [],
      heardMs: new Map(),
      traffic: { messages: 0, bytes: 0 },
      derived: derive(membership),
    };
  };

  /** Returns the peers of each member; a link that one side selects connects both sides. */
  const computePeers = (): Map<EntryId, Set<EntryId>> => {
    const all = new Map<EntryId, Set<EntryId>>(Array.from(nodes.keys(), (id) => [id, new Set()]));
    nodes.forEach((node) => {
      if (!node.isUp) return;
      refreshDerived(node).links.forEach((peer) => {
        if (!nodes.get(peer)?.isUp) return;
        all.get(node.id)?.add(peer);
        all.get(peer)?.add(node.id);
      });
    });
    return all;
  };

  const initial = Array.from({ length: dataCentres * membersEach }, (_, index) =>
    toMember(index % dataCentres),
  );
  initial.forEach((member) => nodes.set(member.entryId, toNode(member, initial)));
  let links = computePeers();

  const sendTo = (node: Node, peers: Iterable<EntryId>, members: readonly Member[]): void => {
    const bytes = encodeFrame({ type: 'gossip', members }).length;
    Array.from(peers).forEach((peer) => {
      const { traffic } = node;
      traffic.messages += 1;
      traffic.bytes += bytes;
      nodes.get(peer)?.inbox.push({ from: node.id, members });
    });
  };

  const send = (node: Node, members: readonly Member[], except?: EntryId): void =>
    sendTo(
      node,
      Array.from(links.get(node.id) ?? []).filter((peer) => peer !== except),
      members,
    );

  const applyUpdate = (node: Node, step: MembershipUpdate, from?: EntryId): void => {
    change(node, { membership: step.state });
    if (step.changedMembers.length > 0) send(node, step.changedMembers, from);
  };

  const checkLinks = (node: Node): void => {
    refreshDerived(node).links.forEach((peer) => {
      const heardMs = node.heardMs.get(peer) ?? nowMs;
      node.heardMs.set(peer, nodes.get(peer)?.isUp ? nowMs : heardMs);
      if (nowMs - heardMs >= SILENCE_TIMEOUT_MS)
        applyUpdate(node, suspectSilentPeer(node.membership, peer, nowMs));
    });
  };

  const sendHeartbeats = (node: Node): void => {
    const { traffic } = node;
    const peers = Array.from(links.get(node.id) ?? []);
    traffic.messages += peers.length;
    traffic.bytes += peers.length * HEARTBEAT_BYTES;
    const differing = peers.filter((peer) => {
      const other = nodes.get(peer);
      return other !== undefined && refreshDerived(other).hash !== refreshDerived(node).hash;
    });
    const known = Array.from(node.membership.members.values(), (one) => one.member);
    if (differing.length > 0) sendTo(node, differing, known);
  };

  const step = (): void => {
    nowMs += STEP_MS;
    steps += 1;
    links = computePeers();
    const up = Array.from(nodes.values()).filter(({ isUp }) => isUp);
    const inboxes = up.map((node) => {
      const { inbox } = node;
      change(node, { inbox: [] });
      return { node, inbox };
    });
    inboxes.forEach(({ node, inbox }) =>
      inbox.forEach(({ from, members }) =>
        applyUpdate(node, mergeGossip(node.membership, members, nowMs), from),
      ),
    );
    up.forEach((node) => {
      checkLinks(node);
      applyUpdate(node, applyMembershipTimeouts(node.membership, nowMs));
      if (steps % STEPS_PER_HEARTBEAT === 0) sendHeartbeats(node);
    });
  };

  const upNodes = (): readonly Node[] => Array.from(nodes.values()).filter(({ isUp }) => isUp);

  return {
    step,
    nowMs: () => nowMs,
    add: (dataCentre) => {
      const member = toMember(dataCentre);
      const [seed] = upNodes();
      const known = seed ? Array.from(seed.membership.members.values(), (one) => one.member) : [];
      nodes.set(member.entryId, toNode(member, known));
      if (seed) applyUpdate(seed, mergeGossip(seed.membership, [member], nowMs));
      return member.entryId;
    },
    kill: (id) => {
      const node = nodes.get(id);
      if (node) node.isUp = false;
    },
    leave: (id) => {
      const node = nodes.get(id);
      if (!node) return;
      applyUpdate(node, leaveMembership(node.membership, nowMs));
      node.isUp = false;
    },
    ids: () => upNodes().map(({ id }) => id),
    hasConverged: () => {
      const wanted = upNodes()
        .map(({ id }) => id)
        .sort()
        .join();
      return upNodes().every(
        ({ membership }) =>
          liveMembers(membership)
            .map(({ entryId }) => entryId)
            .join() === wanted,
      );
    },
    maxLinks: () => Math.max(...Array.from(links.values(), (peers) => peers.size)),
    traffic: () => Array.from(nodes.values(), ({ traffic }) => traffic),
  };
};
