/**
 * Claims in memory, for the time that a data centre cannot reach the platform. A claim is valid only
 * after every other seat holder of the data centre has stored a replica. All holders write their
 * claims to the table before they renew their seats.
 */
import { rowKey, type ClaimRow, type EntryId } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

/** A claim and its key, as sent between entries. */
export type ReplicatedClaim = { readonly key: string; readonly row: ClaimRow };

/** The claims in memory, with their replication and their flush to the table. */
export type OutageClaims = {
  /** Returns the claim of a key, or null if there is none in memory. */
  readonly find: (key: string) => ClaimRow | null;
  /** Returns whether this entry may accept claims in memory. */
  readonly isAccepting: () => boolean;
  /**
   * Stores and replicates a claim. Resolves to false if claims in memory are not accepted now, the
   * key is already claimed, or another holder refused the replica.
   */
  readonly acquire: (claim: ReplicatedClaim) => Promise<boolean>;
  /** Records the outcome of a claim here and at the other seat holders. */
  readonly recordOutcome: (claim: ReplicatedClaim) => void;
  /** Stores a replica of another entry's claim; false if that is unsafe or the memory is full. */
  readonly storeReplica: (claim: ReplicatedClaim) => boolean;
  /** Writes all claims to the table and removes them; false if a write failed. */
  readonly flush: () => Promise<boolean>;
  readonly size: () => number;
};

export type OutageClaimsOptions = {
  readonly table: TableClient;
  /** Time since this entry's seat lease lapsed, in milliseconds; negative while it is held. */
  readonly leaseLapsedForMs: () => number;
  /** Whether this entry uses its seat without the platform, based on promises of other holders. */
  readonly isUsingPromises: () => boolean;
  /** Duration of a seat lease, in milliseconds. */
  readonly leaseMs: number;
  /** Returns the holders of the other seats of the data centre. */
  readonly otherSeatHolders: () => readonly EntryId[];
  /** Asks a seat holder to store a replica; false if it refuses or cannot be reached. */
  readonly requestReplica: (seatHolder: EntryId, claim: ReplicatedClaim) => Promise<boolean>;
  /** Maximum number of claims in memory. */
  readonly maxClaims?: number;
};

/** Maximum number of claims written in one transaction. */
const MAX_CLAIMS_PER_FLUSH = 50;

const isSameClaim = (a: ClaimRow | undefined, b: ClaimRow): boolean => a?.claimId === b.claimId;

/**
 * Creates the claims in memory.
 *
 * @param options - The table, the state of this entry's seat, and the calls to other seat holders.
 * @returns The claims, which are empty at first.
 */
export const createOutageClaims = ({
  table,
  leaseLapsedForMs,
  isUsingPromises,
  leaseMs,
  otherSeatHolders,
  requestReplica,
  maxClaims = 10_000,
}: OutageClaimsOptions): OutageClaims => {
  const claims = new Map<string, ClaimRow>();

  /**
   * Returns whether this entry's lease lapsed at least one lease duration ago. Before that, entries
   * that watch the seats in the table may still consider this data centre connected, and assume that
   * it holds no claims in memory.
   */
  const isLapseVisibleToAll = (): boolean => leaseLapsedForMs() >= leaseMs;
  const hasCapacity = (): boolean => claims.size < maxClaims;

  const storeReplica = ({ key, row }: ReplicatedClaim): boolean => {
    const existing = claims.get(key);
    if (existing && !isSameClaim(existing, row)) return false;
    if (!existing && (!isLapseVisibleToAll() || !hasCapacity())) return false;
    claims.set(key, row);
    return true;
  };

  const replicateToAll = async (claim: ReplicatedClaim): Promise<boolean> => {
    const confirmations = await Promise.all(
      otherSeatHolders().map((seatHolder) => requestReplica(seatHolder, claim)),
    );
    return confirmations.every(Boolean);
  };

  const isAccepting = (): boolean =>
    isUsingPromises() && isLapseVisibleToAll() && hasCapacity() && otherSeatHolders().length > 0;

  const recordOutcome = (claim: ReplicatedClaim): void => {
    if (!isSameClaim(claims.get(claim.key), claim.row)) return;
    claims.set(claim.key, claim.row);
    replicateToAll(claim).catch(() => undefined);
  };

  const acquire = async (claim: ReplicatedClaim): Promise<boolean> => {
    if (!isAccepting() || claims.has(claim.key)) return false;
    claims.set(claim.key, claim.row);
    if (await replicateToAll(claim)) return true;
    // The request was certainly not sent, so the holders of replicas are told that the key is free.
    recordOutcome({ key: claim.key, row: { ...claim.row, state: 'released' } });
    return false;
  };

  const flushClaim = async ({ key, row }: ReplicatedClaim): Promise<boolean> => {
    const read = await table.read([rowKey.claim(key)]);
    if (read.isErr()) return false;
    const [stored] = read.value;
    const existing = (stored?.value ?? null) as ClaimRow | null;
    const isUpdate =
      existing === null || (isSameClaim(existing, row) && existing.state === 'claimed');
    if (!isUpdate) return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.claim(key), version: stored?.version ?? 0 }],
      writes: [{ key: rowKey.claim(key), value: row }],
    });
    return outcome.isOk();
  };

  /**
   * Writes a group of claims in one transaction without reading their rows, because most claims are
   * not in the table yet. After a conflict, each claim is written individually.
   */
  const flushGroup = async (group: readonly ReplicatedClaim[]): Promise<boolean> => {
    const outcome = await table.transact({
      checks: group.map(({ key }) => ({ key: rowKey.claim(key), version: 0 })),
      writes: group.map(({ key, row }) => ({ key: rowKey.claim(key), value: row })),
    });
    if (outcome.isErr()) return false;
    if (outcome.value.kind === 'committed') return true;
    const results = await Promise.all(group.map(flushClaim));
    return results.every(Boolean);
  };

  const flush = async (): Promise<boolean> => {
    while (claims.size > 0) {
      const group = Array.from(claims, ([key, row]) => ({ key, row })).slice(
        0,
        MAX_CLAIMS_PER_FLUSH,
      );
      if (!(await flushGroup(group))) return false;
      group.forEach(({ key, row }) => {
        // A claim whose outcome was recorded during the write stays, and is written again.
        if (claims.get(key) === row) claims.delete(key);
      });
    }
    return true;
  };

  return {
    find: (key) => claims.get(key) ?? null,
    isAccepting,
    acquire,
    recordOutcome,
    storeReplica,
    flush,
    size: () => claims.size,
  };
};
