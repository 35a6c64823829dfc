/** Claims of requests that are not repeatable, kept in the platform's table. */
import { createHash } from 'node:crypto';

import {
  decideClaim,
  rowKey,
  type ClaimRow,
  type EntryId,
  type KeptAnswer,
  type RefusalReason,
  type Verdict,
} from '@valvelatch/core';
import type { GroupCommit, TableClient } from '@valvelatch/platform';

import type { WholeAnswer } from './attempt.js';

/** A request that wants to be claimed. */
export type ClaimRequest = {
  readonly key: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
  /** True if the caller says that it has never sent this key before. */
  readonly isFirstAttempt: boolean;
};

/** What came of a claim. */
export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | {
      readonly kind: 'refused';
      readonly verdict: Verdict;
      readonly reason: RefusalReason;
      readonly detail: string;
    };

/** A claim that this entry holds while the request is under way. */
export type HeldClaim = {
  /** The request surely did not run: another attempt may claim the key. */
  readonly release: () => Promise<void>;
  /** The request ran; its answer is kept if it is small. */
  readonly finish: (answer: WholeAnswer | null) => Promise<void>;
};

/** The keeper of claims. */
export type ClaimKeeper = { readonly claim: (request: ClaimRequest) => Promise<ClaimOutcome> };

/** Options for the keeper. */
export type ClaimKeeperOptions = {
  readonly table: TableClient;
  readonly commits: GroupCommit;
  readonly self: EntryId;
  /** Larger answers are not kept; a resend is told that the request ran. */
  readonly mostKeptBytes?: number;
};

const fingerprintOf = ({ method, path, body }: ClaimRequest): string => {
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  return (body === null ? hash : hash.update(body)).digest('base64url');
};

const keep = (answer: WholeAnswer | null, mostBytes: number): KeptAnswer | null => {
  if (!answer || answer.body.length > mostBytes) return null;
  const contentType = answer.headers['content-type'];
  return {
    status: answer.status,
    contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
    bodyBase64: answer.body.toString('base64'),
  };
};

/**
 * Builds the keeper.
 *
 * @param options - The table, the group commit, and who claims.
 * @returns The keeper.
 */
export const createClaimKeeper = ({
  table,
  commits,
  self,
  mostKeptBytes = 16_384,
}: ClaimKeeperOptions): ClaimKeeper => {
  const hold = (key: string, row: ClaimRow, version: number): HeldClaim => {
    const write = async (next: ClaimRow): Promise<void> => {
      await commits.submit({ checks: [{ key, version }], writes: [{ key, value: next }] });
    };
    return {
      release: () => write({ ...row, state: 'released' }),
      finish: (answer) => write({ ...row, state: 'done', answer: keep(answer, mostKeptBytes) }),
    };
  };

  const readClaim = async (key: string) =>
    (await table.read([key])).map(([row]) => ({
      row: (row?.value ?? null) as ClaimRow | null,
      version: row?.version ?? 0,
    }));

  const unavailable = (detail: string): ClaimOutcome => ({
    kind: 'refused',
    verdict: 'notRun',
    reason: 'claim-unavailable',
    detail: `the claim cannot be written: ${detail}`,
  });

  const writeClaim = async (
    key: string,
    row: ClaimRow,
    version: number,
  ): Promise<ClaimOutcome | 'raced'> => {
    const outcome = await commits.submit({
      checks: [{ key, version }],
      writes: [{ key, value: row }],
    });
    if (outcome.isErr()) return unavailable(outcome.error.detail);
    if (outcome.value.kind === 'conflict') return 'raced';
    return { kind: 'claimed', claim: hold(key, row, outcome.value.version) };
  };

  const claim = async (request: ClaimRequest): Promise<ClaimOutcome> => {
    const key = rowKey.claim(request.key);
    const fingerprint = fingerprintOf(request);
    const row: ClaimRow = {
      service: request.service,
      fingerprint,
      entryId: self,
      state: 'claimed',
      answer: null,
      claimedAtMs: Date.now(),
    };
    // A first attempt is written blind: one trip to the table where nothing stands in its way.
    const written = await writeClaim(key, row, 0);
    if (written !== 'raced') return written;
    const read = await readClaim(key);
    if (read.isErr()) return unavailable(read.error.detail);
    const decision = decideClaim(read.value.row, fingerprint);
    if (decision.kind === 'refuse') return { ...decision, kind: 'refused' };
    if (decision.kind === 'replay') return decision;
    const again = await writeClaim(key, row, read.value.version);
    if (again !== 'raced') return again;
    return {
      kind: 'refused',
      verdict: 'mayHaveRun',
      reason: 'already-running',
      detail: 'the same key is being sent through another entry at this moment',
    };
  };

  return { claim };
};
