/** Claims of requests that are not repeatable: in the platform's table, or in memory without it. */
import { createHash } from 'node:crypto';

import {
  decideClaim,
  rowKey,
  type ClaimRow,
  type EntryId,
  type KeptAnswer,
  type RefusalReason,
  type RequestId,
  type Verdict,
} from '@valvelatch/core';
import type { GroupCommit, TableClient } from '@valvelatch/platform';

import type { WholeAnswer } from './attempt.js';
import type { OutageClaims } from './outage-claims.js';

/** A request that wants to be claimed. */
export type ClaimRequest = {
  readonly requestId: RequestId;
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

export type ClaimKeeper = {
  readonly claim: (request: ClaimRequest) => Promise<ClaimOutcome>;
  /** Releases claims whose writing was in doubt and whose requests were refused. */
  readonly releaseStrays: () => Promise<void>;
};

export type ClaimKeeperOptions = {
  readonly table: TableClient;
  readonly commits: GroupCommit;
  readonly outage: OutageClaims;
  /** Data centres that may hold claims which the table does not show. */
  readonly inDoubt: () => readonly string[];
  readonly self: EntryId;
  /** Larger answers are not kept; a resend is told that the request ran. */
  readonly mostKeptBytes?: number;
};

type Stray = { readonly key: string; readonly row: ClaimRow };
type WriteResult = ClaimOutcome | 'raced' | 'away';

const MOST_STRAYS = 10_000;

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

const unknownClaim = (where: string): ClaimOutcome => ({
  kind: 'refused',
  verdict: 'mayHaveRun',
  reason: 'claim-unknown',
  detail:
    `${where} may hold an earlier claim of this key that cannot be seen now; ` +
    'a request that was never sent before may say valvelatch-attempt: first',
});

const raceLost: ClaimOutcome = {
  kind: 'refused',
  verdict: 'mayHaveRun',
  reason: 'already-running',
  detail: 'the same key is being sent through another entry at this moment',
};

/**
 * Builds the keeper.
 *
 * @param options - The table, the group commit, the claims in memory, and who claims.
 * @returns The keeper.
 */
export const createClaimKeeper = ({
  table,
  commits,
  outage,
  inDoubt,
  self,
  mostKeptBytes = 16_384,
}: ClaimKeeperOptions): ClaimKeeper => {
  const strays: Stray[] = [];

  const holdInTable = (key: string, row: ClaimRow, version: number): HeldClaim => {
    const write = async (next: ClaimRow): Promise<void> => {
      await commits.submit({
        checks: [{ key: rowKey.claim(key), version }],
        writes: [{ key: rowKey.claim(key), value: next }],
      });
    };
    return {
      release: () => write({ ...row, state: 'released' }),
      finish: (answer) => write({ ...row, state: 'done', answer: keep(answer, mostKeptBytes) }),
    };
  };

  const holdInMemory = (key: string, row: ClaimRow): HeldClaim => ({
    release: async () => outage.settle({ key, row: { ...row, state: 'released' } }),
    finish: async (answer) =>
      outage.settle({ key, row: { ...row, state: 'done', answer: keep(answer, mostKeptBytes) } }),
  });

  const newRow = (request: ClaimRequest, fingerprint: string): ClaimRow => ({
    service: request.service,
    fingerprint,
    entryId: self,
    claimId: request.requestId,
    state: 'claimed',
    answer: null,
    claimedAtMs: Date.now(),
  });

  const write = async (
    { key, isFirstAttempt }: ClaimRequest,
    row: ClaimRow,
    version: number,
  ): Promise<WriteResult> => {
    const doubtCheck = isFirstAttempt ? [] : [{ key: rowKey.doubt, version: 0 }];
    const outcome = await commits.submit({
      checks: [{ key: rowKey.claim(key), version }, ...doubtCheck],
      writes: [{ key: rowKey.claim(key), value: row }],
    });
    if (outcome.isErr()) {
      // The request will not be sent; the claim may stand all the same and is released later.
      if (outcome.error.kind === 'unknown' && strays.length < MOST_STRAYS)
        strays.push({ key, row });
      return 'away';
    }
    if (outcome.value.kind === 'committed') {
      return { kind: 'claimed', claim: holdInTable(key, row, outcome.value.version) };
    }
    return outcome.value.key === rowKey.doubt ? unknownClaim('a replaced data centre') : 'raced';
  };

  const decide = (row: ClaimRow | null, fingerprint: string): ClaimOutcome | 'claim' => {
    const decision = decideClaim(row, fingerprint);
    if (decision.kind === 'claim') return 'claim';
    return decision.kind === 'refuse' ? { ...decision, kind: 'refused' } : decision;
  };

  const claimInMemory = async (request: ClaimRequest, row: ClaimRow): Promise<ClaimOutcome> => {
    if (!outage.isOpen()) {
      return {
        kind: 'refused',
        verdict: 'notRun',
        reason: 'claim-unavailable',
        detail: 'the platform is away and the claim cannot be kept safely without it',
      };
    }
    if (!request.isFirstAttempt) return unknownClaim('another data centre');
    const { key } = request;
    if (await outage.take({ key, row })) {
      return { kind: 'claimed', claim: holdInMemory(key, row) };
    }
    return {
      kind: 'refused',
      verdict: 'notRun',
      reason: 'claim-unavailable',
      detail: 'another entry of this data centre could not keep the claim',
    };
  };

  const claimOverExisting = async (
    request: ClaimRequest,
    row: ClaimRow,
  ): Promise<ClaimOutcome | 'away'> => {
    const read = await table.read([rowKey.claim(request.key)]);
    if (read.isErr()) return 'away';
    const [stored] = read.value;
    const known = (stored?.value ?? null) as ClaimRow | null;
    const decision = decide(known, row.fingerprint);
    if (decision !== 'claim') return decision;
    const [centre] = request.isFirstAttempt || known !== null ? [] : inDoubt();
    if (centre !== undefined) return unknownClaim(`data centre ${centre}`);
    const again = await write(request, row, stored?.version ?? 0);
    return again === 'raced' ? raceLost : again;
  };

  const claimInTable = async (
    request: ClaimRequest,
    row: ClaimRow,
  ): Promise<ClaimOutcome | 'away'> => {
    // Without doubt it is written blind: one trip to the table where nothing stands in its way.
    const mayWriteBlind = request.isFirstAttempt || inDoubt().length === 0;
    if (!mayWriteBlind) return claimOverExisting(request, row);
    const written = await write(request, row, 0);
    return written === 'raced' ? claimOverExisting(request, row) : written;
  };

  const claim = async (request: ClaimRequest): Promise<ClaimOutcome> => {
    const fingerprint = fingerprintOf(request);
    const row = newRow(request, fingerprint);
    const remembered = outage.find(request.key);
    if (remembered) {
      const decision = decide(remembered, fingerprint);
      if (decision !== 'claim') return decision;
    }
    if (outage.isOpen()) return claimInMemory(request, row);
    const inTable = await claimInTable(request, row);
    return inTable === 'away' ? claimInMemory(request, row) : inTable;
  };

  const releaseStray = async ({ key, row }: Stray): Promise<boolean> => {
    const read = await table.read([rowKey.claim(key)]);
    if (read.isErr()) return false;
    const [stored] = read.value;
    const known = (stored?.value ?? null) as ClaimRow | null;
    if (!stored || known?.claimId !== row.claimId || known.state !== 'claimed') return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.claim(key), version: stored.version }],
      writes: [{ key: rowKey.claim(key), value: { ...row, state: 'released' } }],
    });
    return outcome.isOk();
  };

  const releaseStrays = async (): Promise<void> => {
    while (strays.length > 0) {
      if (!(await releaseStray(strays[0] as Stray))) return;
      strays.shift();
    }
  };

  return { claim, releaseStrays };
};
