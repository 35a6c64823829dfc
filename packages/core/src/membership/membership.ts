/**
 * Membership of the entries: a hint, never a ground for safety. Each entry watches the few peers
 * that it has links to; only changes travel further. A suspect that is alive refutes the suspicion
 * with a higher incarnation.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';

import type { DataCentreId, EntryId } from '../shared/ids.js';
import { hash32, rendezvousOrder } from '../shared/hash.js';

/** How a member is doing, as far as is known. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** What the entries know of one another. */
export type Member = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** Raised by the member alone, at each start and at each refutation. */
  readonly incarnation: number;
  readonly status: MemberStatus;
  readonly meshUrl: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
};

type Known = { readonly member: Member; readonly sinceMs: number };

/** The state of membership at one entry. */
export type Membership = {
  readonly self: EntryId;
  readonly members: ReadonlyMap<EntryId, Known>;
};

/** A new state, with the news that is to be passed on. */
export type MembershipStep = { readonly state: Membership; readonly news: readonly Member[] };

/** A suspect that has not refuted within this time is taken for dead. */
export const SUSPECT_MS = 3000;
/** The dead and those that left are forgotten after this time. */
export const FORGET_MS = 120_000;
/** A data centre with no more members than this is fully linked. */
const FULLY_LINKED_MEMBERS = 8;
/** Links to members of the own data centre where it is larger. */
const LOCAL_LINKS = 4;
/** Entries of each data centre that hold links to each other data centre. */
const GATEWAYS = 2;

const rank: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Builds the state of an entry that knows only itself.
 *
 * @param self - The entry's own record.
 * @param nowMs - The time.
 * @returns The state.
 */
export const createMembership = (self: Member, nowMs: number): Membership => ({
  self: self.entryId,
  members: new Map([[self.entryId, { member: self, sinceMs: nowMs }]]),
});

const isNews = (known: Known | undefined, update: Member): boolean => {
  if (!known) return true;
  if (update.incarnation !== known.member.incarnation) {
    return update.incarnation > known.member.incarnation;
  }
  return rank[update.status] > rank[known.member.status];
};

const refuteIfSelf = (state: Membership, update: Member): Member => {
  const own = state.members.get(state.self)?.member;
  if (update.entryId !== state.self || !own || own.status === 'left') return update;
  if (update.status === 'alive') return own;
  return { ...own, incarnation: update.incarnation + 1 };
};

/**
 * Takes in what a peer says of members.
 *
 * @param state - What was known.
 * @param updates - The records, in any order and any age.
 * @param nowMs - The time.
 * @returns What is known now, and what of it is news for others.
 */
export const takeGossip = (
  state: Membership,
  updates: readonly Member[],
  nowMs: number,
): MembershipStep => {
  const news = updates
    .filter((update) => isNews(state.members.get(update.entryId), update))
    .map((update) => refuteIfSelf(state, update))
    .filter((update) => isNews(state.members.get(update.entryId), update));
  if (news.length === 0) return { state, news };
  const members = new Map(state.members);
  news.forEach((member) => members.set(member.entryId, { member, sinceMs: nowMs }));
  return { state: { ...state, members }, news };
};

/**
 * Notes that a linked peer has been silent for too long.
 *
 * @param state - What was known.
 * @param peer - The peer.
 * @param nowMs - The time.
 * @returns The state in which the peer is suspect.
 */
export const noteSilent = (state: Membership, peer: EntryId, nowMs: number): MembershipStep => {
  const known = state.members.get(peer)?.member;
  if (!known || known.status !== 'alive') return { state, news: [] };
  return takeGossip(state, [{ ...known, status: 'suspect' }], nowMs);
};

/**
 * Notes that the entry itself leaves. Nobody refutes this.
 *
 * @param state - What was known.
 * @param nowMs - The time.
 * @returns The state in which the entry has left, as news.
 */
export const leaveMembership = (state: Membership, nowMs: number): MembershipStep => {
  const own = state.members.get(state.self)?.member;
  if (!own) return { state, news: [] };
  const member: Member = { ...own, status: 'left' };
  const members = new Map(state.members).set(state.self, { member, sinceMs: nowMs });
  return { state: { ...state, members }, news: [member] };
};

/**
 * Moves on what depends on time: suspects die, the dead are forgotten.
 *
 * @param state - What was known.
 * @param nowMs - The time.
 * @returns What is known now, and the news.
 */
export const tickMembership = (state: Membership, nowMs: number): MembershipStep => {
  const overdue = Array.from(state.members.values()).filter(
    ({ member, sinceMs }) => member.status === 'suspect' && nowMs - sinceMs >= SUSPECT_MS,
  );
  const step = takeGossip(
    state,
    overdue.map(({ member }) => ({ ...member, status: 'dead' as const })),
    nowMs,
  );
  const kept = Array.from(step.state.members).filter(
    ([, { member, sinceMs }]) => rank[member.status] < rank.dead || nowMs - sinceMs < FORGET_MS,
  );
  if (kept.length === step.state.members.size) return step;
  return { ...step, state: { ...step.state, members: new Map(kept) } };
};

const byEntryId: Ord.Ord<Member> = pipe(
  S.Ord,
  Ord.contramap(({ entryId }) => entryId as string),
);

/**
 * Lists the members that are taken to be alive; a suspect still is.
 *
 * @param state - What is known.
 * @returns The members, the entry itself among them, in the order of their ids.
 */
export const liveMembers = (state: Membership): readonly Member[] =>
  pipe(
    Array.from(state.members.values(), ({ member }) => member),
    RA.filter(({ status }) => rank[status] < rank.dead),
    RA.sort(byEntryId),
  );

/**
 * Sums up who is taken to be alive, so that two entries can see whether they agree.
 *
 * @param state - What is known.
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

/** The ring keeps a large data centre connected; the hashed links keep its diameter small. */
const localLinks = (self: EntryId, locals: readonly Member[]): readonly EntryId[] => {
  const ids = idsOf(locals);
  const others = ids.filter((id) => id !== self);
  if (others.length < FULLY_LINKED_MEMBERS) return others;
  const place = ids.indexOf(self);
  const successor = ids[(place + 1) % ids.length] as EntryId;
  const hashed = rendezvousOrder(self, others).slice(0, LOCAL_LINKS - 1);
  return Array.from(new Set([successor, ...hashed]));
};

const pairKey = (a: DataCentreId, b: DataCentreId): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

const remoteLinks = (self: Member, live: readonly Member[]): readonly EntryId[] => {
  const centres = Array.from(new Set(live.map(({ dataCentre }) => dataCentre)));
  const membersIn = (centre: DataCentreId) =>
    idsOf(live.filter(({ dataCentre }) => dataCentre === centre));
  return centres
    .filter((centre) => centre !== self.dataCentre)
    .flatMap((centre) => {
      const key = pairKey(self.dataCentre, centre);
      const own = rendezvousOrder(key, membersIn(self.dataCentre)).slice(0, GATEWAYS);
      const place = own.indexOf(self.entryId);
      if (place < 0) return [];
      const theirs = rendezvousOrder(key, membersIn(centre)).slice(0, GATEWAYS);
      return [theirs[place % theirs.length] as EntryId];
    });
};

/**
 * Decides which peers the entry keeps links to. All entries decide alike without talking.
 *
 * @param state - What is known.
 * @returns The peers to link to; peers may hold further links to this entry.
 */
export const wantedLinks = (state: Membership): readonly EntryId[] => {
  const self = state.members.get(state.self)?.member;
  if (!self) return [];
  const live = liveMembers(state);
  const locals = live.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  return [...localLinks(self.entryId, locals), ...remoteLinks(self, live)];
};

/**
 * Chooses who of the own data centre does a thing that one entry should do. It is a hint: two may
 * do it for a while, so the thing itself must bear that.
 *
 * @param state - What is known.
 * @param duty - The name of the duty.
 * @param count - How many should do it.
 * @returns True if this entry is one of them.
 */
export const hasDuty = (state: Membership, duty: string, count: number): boolean => {
  const self = state.members.get(state.self)?.member;
  if (!self) return false;
  const locals = liveMembers(state).filter(({ dataCentre }) => dataCentre === self.dataCentre);
  return rendezvousOrder(duty, idsOf(locals)).slice(0, count).includes(state.self);
};
