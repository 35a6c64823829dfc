/**
 * Which entry carries the holder's orders to an endpoint. The holder decides everything, but what it
 * sends need not all leave over its own link: an entry in the endpoint's data centre carries it on.
 */
import type { DataCentreId, EndpointId, EntryId } from '../../shared/ids.js';

/** An entry that could carry orders. */
export type RelayCandidate = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** How much it can carry, against the others. */
  readonly strength: number;
  /** It is linked, was heard just now, and has not failed lately. */
  readonly isUsable: boolean;
};

/**
 * So many of the strongest usable entries of a data centre carry orders: fewer links and fewer copies
 * of a job's text than with all of them, and the loss of one costs a third of its data centre a retry.
 */
const RELAYS_PER_DATA_CENTRE = 3;

/**
 * Lists the entries that are to carry orders.
 *
 * @param candidates - All other entries.
 * @param mostPerCentre - How many of each data centre.
 * @returns The strongest usable ones of each data centre.
 */
export const selectRelays = (
  candidates: readonly RelayCandidate[],
  mostPerCentre: number = RELAYS_PER_DATA_CENTRE,
): ReadonlyMap<string, readonly RelayCandidate[]> => {
  const byCentre = new Map<string, RelayCandidate[]>();
  [...candidates]
    .filter(({ isUsable }) => isUsable)
    .sort((left, right) => right.strength - left.strength)
    .forEach((candidate) => {
      const chosen = byCentre.get(candidate.dataCentre) ?? [];
      if (chosen.length < mostPerCentre) chosen.push(candidate);
      byCentre.set(candidate.dataCentre, chosen);
    });
  return byCentre;
};

/** Keeps which endpoint is served by which relay. */
export type RelayAssignment = {
  /**
   * Gives the relay of an endpoint, the same as long as it may be used.
   *
   * @param endpointId - The endpoint.
   * @param relays - Those of its data centre.
   * @returns The relay; undefined if there is none.
   */
  readonly relayOf: (
    endpointId: EndpointId,
    relays: readonly RelayCandidate[],
  ) => EntryId | undefined;
  readonly forget: (endpointId: EndpointId) => void;
};

/**
 * Builds an assignment of nothing.
 *
 * @returns The assignment: an endpoint goes to the relay that has fewest for its strength.
 */
export const createRelayAssignment = (): RelayAssignment => {
  const relayByEndpoint = new Map<EndpointId, EntryId>();
  const counts = new Map<EntryId, number>();

  const forget = (endpointId: EndpointId): void => {
    const relay = relayByEndpoint.get(endpointId);
    if (relay === undefined) return;
    relayByEndpoint.delete(endpointId);
    counts.set(relay, (counts.get(relay) ?? 1) - 1);
  };

  const loadOf = ({ entryId, strength }: RelayCandidate): number =>
    ((counts.get(entryId) ?? 0) + 1) / Math.max(strength, Number.MIN_VALUE);

  return {
    relayOf: (endpointId, relays) => {
      const known = relayByEndpoint.get(endpointId);
      if (known !== undefined && relays.some(({ entryId }) => entryId === known)) return known;
      forget(endpointId);
      const [best] = [...relays].sort((left, right) => loadOf(left) - loadOf(right));
      if (!best) return undefined;
      relayByEndpoint.set(endpointId, best.entryId);
      counts.set(best.entryId, (counts.get(best.entryId) ?? 0) + 1);
      return best.entryId;
    },
    forget,
  };
};

/** What the holder's own link has carried so far, and what it could. */
export type LinkUse = {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Each way. */
  readonly bytesPerS: number;
};

/**
 * From this share of its link on the holder has orders carried by others. Peaks of demand are three to
 * five times the mean, so the rest is what they need; below it a direct order is one hop shorter and
 * hangs on one entry less.
 */
const RELAY_FROM_SHARE = 0.2;
const MEASURED_OVER_MS = 1000;

/**
 * Builds the decision whether orders are carried by others. Once taken it stands: what the link would
 * carry without relays cannot be seen any more.
 *
 * @returns A function of the use of the link and the time that gives the decision.
 */
export const createRelayDecision = (): ((use: LinkUse, nowMs: number) => boolean) => {
  let isNeeded = false;
  let before: { readonly use: LinkUse; readonly atMs: number } | undefined;
  return (use, nowMs) => {
    if (isNeeded) return true;
    if (!before) before = { use, atMs: nowMs };
    const ofMs = nowMs - before.atMs;
    if (ofMs < MEASURED_OVER_MS) return false;
    const bytes = Math.max(
      use.sentBytes - before.use.sentBytes,
      use.receivedBytes - before.use.receivedBytes,
    );
    isNeeded = (bytes / ofMs) * 1000 > use.bytesPerS * RELAY_FROM_SHARE;
    before = { use, atMs: nowMs };
    return isNeeded;
  };
};
