/**
 * Claims in memory, for the time that a data centre is without the platform. A claim counts only
 * once every other holder of a seat of the data centre has it too; all of them write it to the
 * table before they renew their seats.
 */
import { rowKey, type ClaimRow, type EntryId } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

/** A claim as it travels between entries. */
export type SharedClaim = { readonly key: string; readonly row: ClaimRow };

/** The claims in memory. */
export type OutageClaims = {
  readonly find: (key: string) => ClaimRow | null;
  /** True while this entry may take claims in memory. */
  readonly isOpen: () => boolean;
  /** Takes a claim; false where another entry cannot hold it or has the key already. */
  readonly take: (claim: SharedClaim) => Promise<boolean>;
  /** Notes what came of a claim, here and at the others. */
  readonly settle: (claim: SharedClaim) => void;
  /** Keeps a claim for another entry; false where that is not safe. */
  readonly keepFor: (claim: SharedClaim) => boolean;
  /** Writes all claims to the table; true once none is left. */
  readonly flush: () => Promise<boolean>;
  readonly size: () => number;
};

export type OutageClaimsOptions = {
  readonly table: TableClient;
  /** How long the own seat's lease has lapsed; negative while it is held. */
  readonly lapsedForMs: () => number;
  /** Whether the entry goes on without the platform, carried by the others' promises. */
  readonly isContinuing: () => boolean;
  readonly leaseMs: number;
  readonly otherHolders: () => readonly EntryId[];
  readonly askKeep: (holder: EntryId, claim: SharedClaim) => Promise<boolean>;
  /** No more claims than this are kept in memory. */
  readonly most?: number;
};

/** Claims that are written in one transaction. */
const FLUSHED_AT_ONCE = 50;

const isSame = (a: ClaimRow | undefined, b: ClaimRow): boolean => a?.claimId === b.claimId;

/**
 * Builds the claims.
 *
 * @param options - The table, the state of the seat, and the links to the other holders.
 * @returns The claims, none yet.
 */
export const createOutageClaims = ({
  table,
  lapsedForMs,
  isContinuing,
  leaseMs,
  otherHolders,
  askKeep,
  most = 10_000,
}: OutageClaimsOptions): OutageClaims => {
  const claims = new Map<string, ClaimRow>();

  /** Until then watchers of the table may still take this data centre for connected. */
  const hasLapsedForAll = (): boolean => lapsedForMs() >= leaseMs;
  const hasRoom = (): boolean => claims.size < most;

  const keepFor = ({ key, row }: SharedClaim): boolean => {
    const known = claims.get(key);
    if (known && !isSame(known, row)) return false;
    if (!known && (!hasLapsedForAll() || !hasRoom())) return false;
    claims.set(key, row);
    return true;
  };

  const shareWithAll = async (claim: SharedClaim): Promise<boolean> => {
    const answers = await Promise.all(otherHolders().map((holder) => askKeep(holder, claim)));
    return answers.every(Boolean);
  };

  const isOpen = (): boolean =>
    isContinuing() && hasLapsedForAll() && hasRoom() && otherHolders().length > 0;

  const settle = (claim: SharedClaim): void => {
    if (!isSame(claims.get(claim.key), claim.row)) return;
    claims.set(claim.key, claim.row);
    shareWithAll(claim).catch(() => undefined);
  };

  const take = async (claim: SharedClaim): Promise<boolean> => {
    if (!isOpen() || claims.has(claim.key)) return false;
    claims.set(claim.key, claim.row);
    if (await shareWithAll(claim)) return true;
    // It was surely not sent; whoever kept a copy learns that the key is free again.
    settle({ key: claim.key, row: { ...claim.row, state: 'released' } });
    return false;
  };

  const flushOne = async ({ key, row }: SharedClaim): Promise<boolean> => {
    const read = await table.read([rowKey.claim(key)]);
    if (read.isErr()) return false;
    const [stored] = read.value;
    const known = (stored?.value ?? null) as ClaimRow | null;
    const isNewer = known === null || (isSame(known, row) && known.state === 'claimed');
    if (!isNewer) return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.claim(key), version: stored?.version ?? 0 }],
      writes: [{ key: rowKey.claim(key), value: row }],
    });
    return outcome.isOk();
  };

  /** Most claims are new to the table, so they are written blind and together. */
  const flushGroup = async (group: readonly SharedClaim[]): Promise<boolean> => {
    const outcome = await table.transact({
      checks: group.map(({ key }) => ({ key: rowKey.claim(key), version: 0 })),
      writes: group.map(({ key, row }) => ({ key: rowKey.claim(key), value: row })),
    });
    if (outcome.isErr()) return false;
    if (outcome.value.kind === 'committed') return true;
    const each = await Promise.all(group.map(flushOne));
    return each.every(Boolean);
  };

  const flush = async (): Promise<boolean> => {
    while (claims.size > 0) {
      const group = Array.from(claims, ([key, row]) => ({ key, row })).slice(0, FLUSHED_AT_ONCE);
      if (!(await flushGroup(group))) return false;
      group.forEach(({ key, row }) => {
        // One that was settled while it was being written is written again.
        if (claims.get(key) === row) claims.delete(key);
      });
    }
    return true;
  };

  return {
    find: (key) => claims.get(key) ?? null,
    isOpen,
    take,
    settle,
    keepFor,
    flush,
    size: () => claims.size,
  };
};
