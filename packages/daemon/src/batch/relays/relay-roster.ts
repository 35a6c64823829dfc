/**
 * The entries that relay the holder's orders: which of them are linked, answer and have a known clock, and which one
 * serves an endpoint.
 */
import { createRelayAssignment, selectRelays, type RelayCandidate } from '@valvelatch/core/batch';
import type { EndpointId, EntryId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import { createRemoteClock, type RemoteClock } from '../remote-clock.js';
import { decodeRelayClock, type OrderDeadline, type RelayClockReading } from './order-message.js';
import type { Peers } from '../entry/peers.js';
import type { OrderTarget } from '../ports.js';

/** The mesh method that reads the clock of a relay. */
export const RELAY_CLOCK_METHOD = 'relay-clock';

/** A relay that has sent nothing for this long gets no orders. Entries send each other a message every 0.5 s. */
const MAX_RELAY_SILENCE_MS = 1200;
/** How long a relay that did not answer gets no orders. */
const RELAY_COOLDOWN_MS = 3000;
/** Links are kept open to more entries than serve as relays, so that replacing a lost relay needs no new link. */
const LINKS_PER_DATA_CENTRE = 5;
/**
 * A clock whose last reading is older is read again. With an older reading, an order would expire before its timeout by
 * 2 % of the reading's age.
 */
const MAX_CLOCK_AGE_MS = 2000;
const CLOCK_TIMEOUT_MS = 400;

/** The part of the mesh that relaying needs. */
export type RelayPeers = Pick<Peers, 'ask' | 'ensureLink' | 'members' | 'silentForMs'>;

export type RelayRosterOptions = {
  /** Returns the other entries; undefined while they are not known yet. */
  readonly peers: () => RelayPeers | undefined;
  readonly log: Pick<Log, 'debug'>;
  readonly nowMs: () => number;
};

export type RelayRoster = {
  /** Opens links, reads clocks and selects the relays; to be called several times a second. */
  readonly refresh: () => void;
  /** Returns the relay of an endpoint; undefined if none is usable. */
  readonly relayOf: (target: OrderTarget) => EntryId | undefined;
  /**
   * Computes until when a relay may send an order.
   *
   * @param relay - The relay.
   * @param ms - The time that the order has from now on, in milliseconds.
   * @returns The deadline on the relay's own clock; undefined while that clock is not known.
   */
  readonly deadlineAfter: (relay: EntryId, ms: number) => OrderDeadline | undefined;
  /** Records the clock that a relay sent with an answer. */
  readonly recordClock: (relay: EntryId, reading: RelayClockReading) => void;
  /** Records that a relay did not answer: it gets no orders for a time. */
  readonly recordFailure: (relay: EntryId) => void;
  readonly unassign: (endpointId: EndpointId) => void;
};

/** The clock of one life of a relay's process. */
type RelayClock = {
  readonly incarnation: number;
  readonly clock: RemoteClock;
  readAtMs: number;
};

/**
 * Creates the roster of a holder's relays.
 *
 * @param options - The other entries, and this entry's clock.
 * @returns The roster, without relays.
 */
export const createRelayRoster = ({ peers, log, nowMs }: RelayRosterOptions): RelayRoster => {
  const assignment = createRelayAssignment();
  const failedUntilMs = new Map<EntryId, number>();
  const clocks = new Map<EntryId, RelayClock>();
  const pendingReadings = new Set<EntryId>();
  let relays: ReadonlyMap<string, readonly RelayCandidate[]> = new Map();

  const hasFailed = (entryId: EntryId): boolean => nowMs() < (failedUntilMs.get(entryId) ?? 0);

  const isLinked = (entryId: EntryId): boolean =>
    (peers()?.silentForMs(entryId) ?? Infinity) < MAX_RELAY_SILENCE_MS;

  const listCandidates = (isUsable: (entryId: EntryId) => boolean): readonly RelayCandidate[] =>
    (peers()?.members() ?? []).map(({ entryId, dataCentre, strength }) => ({
      entryId,
      dataCentre,
      relativeCapacity: strength,
      isUsable: isUsable(entryId),
    }));

  const select = (): void => {
    relays = selectRelays(
      listCandidates((entryId) => clocks.has(entryId) && isLinked(entryId) && !hasFailed(entryId)),
    );
  };

  const recordClock = (relay: EntryId, { incarnation, clockMs }: RelayClockReading): void => {
    const known = clocks.get(relay);
    const current =
      known?.incarnation === incarnation
        ? known
        : { incarnation, clock: createRemoteClock(nowMs), readAtMs: 0 };
    current.clock.recordReading({ clockMs });
    current.readAtMs = nowMs();
    clocks.set(relay, current);
  };

  /** An entry that does not answer, or whose build has no relay clock, is not selected. */
  const readClock = async (entryId: EntryId): Promise<void> => {
    if (pendingReadings.has(entryId)) return;
    pendingReadings.add(entryId);
    try {
      const answer = await peers()?.ask(entryId, RELAY_CLOCK_METHOD, null, CLOCK_TIMEOUT_MS);
      const reading = decodeRelayClock(answer);
      if (!reading) return;
      recordClock(entryId, reading);
      select();
    } catch (error) {
      log.debug('relay-clock-unanswered', { relay: entryId, detail: String(error) });
      clocks.delete(entryId);
    } finally {
      pendingReadings.delete(entryId);
    }
  };

  const hasCurrentClock = (entryId: EntryId): boolean =>
    nowMs() - (clocks.get(entryId)?.readAtMs ?? -Infinity) < MAX_CLOCK_AGE_MS;

  const prepare = (entryId: EntryId): void => {
    peers()?.ensureLink(entryId);
    if (isLinked(entryId) && !hasCurrentClock(entryId)) void readClock(entryId);
  };

  return {
    refresh: () => {
      const linkable = listCandidates((entryId) => !hasFailed(entryId));
      selectRelays(linkable, LINKS_PER_DATA_CENTRE).forEach((chosen) =>
        chosen.forEach(({ entryId }) => prepare(entryId)),
      );
      select();
    },
    relayOf: ({ endpointId, dataCentre }) => {
      const relay = assignment.relayOf(endpointId, relays.get(dataCentre) ?? []);
      return relay === undefined || hasFailed(relay) || !clocks.has(relay) ? undefined : relay;
    },
    deadlineAfter: (relay, ms) => {
      const known = clocks.get(relay);
      const untilMs = known?.clock.estimateTimeAfter(ms);
      return known && untilMs !== undefined
        ? { incarnation: known.incarnation, untilMs }
        : undefined;
    },
    recordClock,
    recordFailure: (relay) => {
      failedUntilMs.set(relay, nowMs() + RELAY_COOLDOWN_MS);
      clocks.delete(relay);
    },
    unassign: assignment.unassign,
  };
};
