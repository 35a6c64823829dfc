/**
 * Gossip membership of the entries. The result is a hint: no safety property may depend on it. Each
 * entry monitors only the few peers that it has links to, and only changes are gossiped further. An
 * entry that is suspected while it is alive refutes the suspicion with a higher incarnation.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';

import type { DataCentreId, EntryId } from '../shared/ids.js';
import { hash32, orderByRendezvous } from '../shared/hash.js';

/** The state of a member, as far as this entry knows. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** The record of one entry that is gossiped to the others. */
export type Member = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** Raised only by the member itself, at each start and at each refutation. */
  readonly incarnation: number;
  readonly status: MemberStatus;
  readonly meshUrl: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
};

/** A record with the time at which it was stored, in milliseconds. */
type KnownMember = { readonly member: Member; readonly sinceMs: number };

/** The membership as one entry knows it. */
export type Membership = {
  readonly self: EntryId;
  readonly members: ReadonlyMap<EntryId, KnownMember>;
};

/** A new state, with the changed records that are to be gossiped to other entries. */
export type MembershipUpdate = {
  readonly state: Membership;
  readonly changedMembers: readonly Member[];
};

/** A suspect that has not refuted the suspicion within this time is considered dead. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** The records of dead members and of members that left are removed after this time. */
export const REMOVE_DEAD_AFTER_MS = 120_000;
/** In a data centre with at most this many live members, each member links to all others. */
const MAX_FULLY_LINKED_MEMBERS = 8;
/** The number of links of an entry within its data centre if that has more members. */
const LOCAL_LINKS = 4;
/** The number of entries of each data centre that hold links to each other data centre. */
const GATEWAYS_PER_DATA_CENTRE = 2;

/** Of two records with the same incarnation, the one with the higher rank wins. */
const statusRank: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Creates the state of an entry that knows only itself.
 *
 * @param self - The entry's own record.
 * @param nowMs - The current time, in milliseconds.
 * @returns The state.
 */
export const createMembership = (self: Member, nowMs: number): Membership => ({
  self: self.entryId,
  members: new Map([[self.entryId, { member: self, sinceMs: nowMs }]]),
});

/** Checks whether an update replaces the known record of the member. */
const supersedes = (known: KnownMember | undefined, update: Member): boolean => {
  if (!known) return true;
  if (update.incarnation !== known.member.incarnation) {
    return update.incarnation > known.member.incarnation;
  }
  return statusRank[update.status] > statusRank[known.member.status];
};

/**
 * Replaces an update about this entry itself by its own record, with an incarnation above that of
 * the update if the update says that this entry is not alive. An entry that left refutes nothing.
 */
const refuteIfSelf = (state: Membership, update: Member): Member => {
  const own = state.members.get(state.self)?.member;
  if (update.entryId !== state.self || !own || own.status === 'left') return update;
  if (update.status === 'alive') return own;
  return { ...own, incarnation: update.incarnation + 1 };
};

/**
 * Merges the records that a peer sent.
 *
 * @param state - The previous state.
 * @param updates - The records, in any order and of any age.
 * @param nowMs - The current time, in milliseconds.
 * @returns The new state, and the records that changed and are to be gossiped further.
 */
export const mergeGossip = (
  state: Membership,
  updates: readonly Member[],
  nowMs: number,
): MembershipUpdate => {
  const changedMembers = updates
    .filter((update) => supersedes(state.members.get(update.entryId), update))
    .map((update) => refuteIfSelf(state, update))
    .filter((update) => supersedes(state.members.get(update.entryId), update));
  if (changedMembers.length === 0) return { state, changedMembers };
  const members = new Map(state.members);
  changedMembers.forEach((member) => members.set(member.entryId, { member, sinceMs: nowMs }));
  return { state: { ...state, members }, changedMembers };
};

/**
 * Records that a linked peer has been silent for too long.
 *
 * @param state - The previous state.
 * @param peer - The peer.
 * @param nowMs - The current time, in milliseconds.
 * @returns The state in which the peer is a suspect, if it was considered alive before.
 */
export const suspectSilentPeer = (
  state: Membership,
  peer: EntryId,
  nowMs: number,
): MembershipUpdate => {
  const known = state.members.get(peer)?.member;
  if (!known || known.status !== 'alive') return { state, changedMembers: [] };
  return mergeGossip(state, [{ ...known, status: 'suspect' }], nowMs);
};

/**
 * Records that the entry itself leaves. This is never refuted.
 *
 * @param state - The previous state.
 * @param nowMs - The current time, in milliseconds.
 * @returns The state in which the entry has left, and its record, to be gossiped.
 */
export const leaveMembership = (state: Membership, nowMs: number): MembershipUpdate => {
  const own = state.members.get(state.self)?.member;
  if (!own) return { state, changedMembers: [] };
  const member: Member = { ...own, status: 'left' };
  const members = new Map(state.members).set(state.self, { member, sinceMs: nowMs });
  return { state: { ...state, members }, changedMembers: [member] };
};

/**
 * Applies the timeouts: overdue suspects become dead, and old records of dead members and of
 * members that left are removed.
 *
 * @param state - The previous state.
 * @param nowMs - The current time, in milliseconds.
 * @returns The new state, and the records that changed.
 */
export const applyMembershipTimeouts = (state: Membership, nowMs: number): MembershipUpdate => {
  const overdue = Array.from(state.members.values()).filter(
    ({ member, sinceMs }) => member.status === 'suspect' && nowMs - sinceMs >= SUSPICION_TIMEOUT_MS,
  );
  const step = mergeGossip(
    state,
    overdue.map(({ member }) => ({ ...member, status: 'dead' as const })),
    nowMs,
  );
  const kept = Array.from(step.state.members).filter(
    ([, { member, sinceMs }]) =>
      statusRank[member.status] < statusRank.dead || nowMs - sinceMs < REMOVE_DEAD_AFTER_MS,
  );
  if (kept.length === step.state.members.size) return step;
  return { ...step, state: { ...step.state, members: new Map(kept) } };
};

const byEntryId: Ord.Ord<Member> = pipe(
  S.Ord,
  Ord.contramap(({ entryId }) => entryId as string),
);

/**
 * Lists the members that are considered alive, including suspects.
 *
 * @param state - The membership.
 * @returns The members, including the entry itself, in the order of their ids.
 */
export const liveMembers = (state: Membership): readonly Member[] =>
  pipe(
    Array.from(state.members.values(), ({ member }) => member),
    RA.filter(({ status }) => statusRank[status] < statusRank.dead),
    RA.sort(byEntryId),
  );

/**
 * Hashes the set of live members, so that two entries can check whether they agree on it.
 *
 * @param state - The membership.
 * @returns A hash of the live members and their incarnations.
 */
export const membershipHash = (state: Membership): number =>
  hash32(
    liveMembers(state)
      .map(({ entryId, incarnation }) => `${entryId}/${incarnation}`)
      .join(),
  );

const idsOf = (members: readonly Member[]): readonly EntryId[] =>
  members.map(({ entryId }) => entryId);

/**
 * Returns the peers of the own data centre to link to. In a large data centre the link to the
 * successor forms a ring that keeps all members connected; the links chosen by hash keep the
 * diameter small.
 */
const localLinks = (self: EntryId, locals: readonly Member[]): readonly EntryId[] => {
  const ids = idsOf(locals);
  const others = ids.filter((id) => id !== self);
  if (others.length < MAX_FULLY_LINKED_MEMBERS) return others;
  const index = ids.indexOf(self);
  const successor = ids[(index + 1) % ids.length] as EntryId;
  const hashed = orderByRendezvous(self, others).slice(0, LOCAL_LINKS - 1);
  return Array.from(new Set([successor, ...hashed]));
};

/** Returns a key for a pair of data centres that is the same on both sides. */
const pairKey = (a: DataCentreId, b: DataCentreId): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

/** Returns the peers of other data centres that this entry links to, if it is a gateway to them. */
const remoteLinks = (self: Member, live: readonly Member[]): readonly EntryId[] => {
  const centres = Array.from(new Set(live.map(({ dataCentre }) => dataCentre)));
  const membersIn = (centre: DataCentreId) =>
    idsOf(live.filter(({ dataCentre }) => dataCentre === centre));
  return centres
    .filter((centre) => centre !== self.dataCentre)
    .flatMap((centre) => {
      const key = pairKey(self.dataCentre, centre);
      const own = orderByRendezvous(key, membersIn(self.dataCentre)).slice(
        0,
        GATEWAYS_PER_DATA_CENTRE,
      );
      const index = own.indexOf(self.entryId);
      if (index < 0) return [];
      const theirs = orderByRendezvous(key, membersIn(centre)).slice(0, GATEWAYS_PER_DATA_CENTRE);
      return [theirs[index % theirs.length] as EntryId];
    });
};

/**
 * Chooses the peers that the entry keeps links to. The choice is deterministic: entries that know
 * the same members make consistent choices without communicating.
 *
 * @param state - The membership.
 * @returns The peers to link to. Other peers may hold links to this entry.
 */
export const selectLinks = (state: Membership): readonly EntryId[] => {
  const self = state.members.get(state.self)?.member;
  if (!self) return [];
  const live = liveMembers(state);
  const locals = live.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  return [...localLinks(self.entryId, locals), ...remoteLinks(self, live)];
};

/**
 * Checks whether this entry is one of those of its data centre that should perform a duty. This is
 * a hint: entries whose membership differs may choose different performers, so the duty must
 * tolerate being performed by more entries than intended for a while.
 *
 * @param state - The membership.
 * @param duty - The name of the duty.
 * @param count - The number of entries that should perform it.
 * @returns True if this entry is one of them.
 */
export const isSelectedForDuty = (state: Membership, duty: string, count: number): boolean => {
  const self = state.members.get(state.self)?.member;
  if (!self) return false;
  const locals = liveMembers(state).filter(({ dataCentre }) => dataCentre === self.dataCentre);
  return orderByRendezvous(duty, idsOf(locals)).slice(0, count).includes(state.self);
};
