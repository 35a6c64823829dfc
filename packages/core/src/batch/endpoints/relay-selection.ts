/**
 * Chooses the entry that relays the holder's orders to an endpoint. The holder makes all decisions, but not all its
 * orders have to go over its own link: an entry in the endpoint's data centre can forward them.
 */
import type { DataCentreId, EndpointId, EntryId } from '../../shared/ids.js';

/** An entry that could relay orders. */
export type RelayCandidate = {
  readonly entryId: EntryId;
  readonly dataCentre: DataCentreId;
  /** Its capacity relative to the other entries. */
  readonly relativeCapacity: number;
  /** True if it is connected, was heard from recently, and has not failed recently. */
  readonly isUsable: boolean;
};

/**
 * Number of entries per data centre that relay orders, the strongest usable ones. Compared with using all entries, this
 * needs fewer connections and fewer copies of a job's text; losing one relay means a retry for a third of the orders
 * to its data centre.
 */
const RELAYS_PER_DATA_CENTRE = 3;

/**
 * Selects the entries that relay orders.
 *
 * @param candidates - All other entries.
 * @param maxPerDataCentre - Maximum number of relays per data centre.
 * @returns The strongest usable entries of each data centre.
 */
export const selectRelays = (
  candidates: readonly RelayCandidate[],
  maxPerDataCentre: number = RELAYS_PER_DATA_CENTRE,
): ReadonlyMap<string, readonly RelayCandidate[]> => {
  const byCentre = new Map<string, RelayCandidate[]>();
  [...candidates]
    .filter(({ isUsable }) => isUsable)
    .sort((left, right) => right.relativeCapacity - left.relativeCapacity)
    .forEach((candidate) => {
      const chosen = byCentre.get(candidate.dataCentre) ?? [];
      if (chosen.length < maxPerDataCentre) chosen.push(candidate);
      byCentre.set(candidate.dataCentre, chosen);
    });
  return byCentre;
};

/** Keeps track of which relay serves which endpoint. */
export type RelayAssignment = {
  /**
   * Returns the relay of an endpoint. It stays the same while it is among the given relays.
   *
   * @param endpointId - The endpoint.
   * @param relays - The relays of its data centre.
   * @returns The relay, or undefined if there is none.
   */
  readonly relayOf: (
    endpointId: EndpointId,
    relays: readonly RelayCandidate[],
  ) => EntryId | undefined;
  readonly unassign: (endpointId: EndpointId) => void;
};

/**
 * Creates an empty assignment.
 *
 * @returns The assignment. A new endpoint is assigned to the relay with the fewest endpoints relative to its capacity.
 */
export const createRelayAssignment = (): RelayAssignment => {
  const relayByEndpoint = new Map<EndpointId, EntryId>();
  const counts = new Map<EntryId, number>();

  const unassign = (endpointId: EndpointId): void => {
    const relay = relayByEndpoint.get(endpointId);
    if (relay === undefined) return;
    relayByEndpoint.delete(endpointId);
    counts.set(relay, (counts.get(relay) ?? 1) - 1);
  };

  const loadOf = ({ entryId, relativeCapacity }: RelayCandidate): number =>
    ((counts.get(entryId) ?? 0) + 1) / Math.max(relativeCapacity, Number.MIN_VALUE);

  return {
    relayOf: (endpointId, relays) => {
      const known = relayByEndpoint.get(endpointId);
      if (known !== undefined && relays.some(({ entryId }) => entryId === known)) return known;
      unassign(endpointId);
      const [best] = [...relays].sort((left, right) => loadOf(left) - loadOf(right));
      if (!best) return undefined;
      relayByEndpoint.set(endpointId, best.entryId);
      counts.set(best.entryId, (counts.get(best.entryId) ?? 0) + 1);
      return best.entryId;
    },
    unassign,
  };
};
