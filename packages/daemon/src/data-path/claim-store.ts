/**
 * Claims the keys of requests that are not repeatable. Claims are stored in the platform's table, or
 * in memory while the platform is unavailable.
 */
import { createHash } from 'node:crypto';

import {
  decideClaim,
  rowKey,
  type ClaimRow,
  type EntryId,
  type StoredAnswer,
  type RefusalReason,
  type RequestId,
  type Verdict,
} from '@valvelatch/core';
import type { GroupCommit, TableClient } from '@valvelatch/platform';

import type { CompleteResponse } from './attempt.js';
import type { OutageClaims } from './outage-claims.js';

/** A request whose key is to be claimed. */
export type ClaimRequest = {
  readonly requestId: RequestId;
  readonly key: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
  /** True if the caller states that it has never sent this key before. */
  readonly isFirstAttempt: boolean;
};

/** The outcome of claiming a key: claimed, an earlier response to replay, or a refusal. */
export type ClaimOutcome =
  | { readonly kind: 'claimed'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | {
      readonly kind: 'refused';
      readonly verdict: Verdict;
      readonly reason: RefusalReason;
      readonly detail: string;
    };

/** A claim that this entry holds while the request is in flight. */
export type HeldClaim = {
  /** Frees the key for another attempt. Only for a request that certainly did not run. */
  readonly release: () => Promise<void>;
  /** Records that the request ran, and stores its response unless that is too large. */
  readonly complete: (answer: CompleteResponse | null) => Promise<void>;
};

/** Store of the claims of this entry's requests. */
export type ClaimStore = {
  /** Claims the key of a request. */
  readonly claim: (request: ClaimRequest) => Promise<ClaimOutcome>;
  /** Releases claims whose write had an unknown outcome and whose requests were not sent. */
  readonly releaseUncertainClaims: () => Promise<void>;
};

export type ClaimStoreOptions = {
  readonly table: TableClient;
  /** Groups the writes of claims into transactions. */
  readonly groupCommit: GroupCommit;
  readonly outageClaims: OutageClaims;
  /** Returns the data centres that may hold unflushed claims, which are not in the table yet. */
  readonly dataCentresWithUnflushedClaims: () => readonly string[];
  /** The id of this entry. */
  readonly ownEntryId: EntryId;
  /**
   * Maximum size of a stored response body, in bytes. Larger responses are not stored; a resend is
   * then refused with the information that the request ran.
   */
  readonly maxStoredResponseBytes?: number;
};

/** A claim whose write had an unknown outcome and which may be in the table. */
type UncertainClaim = { readonly key: string; readonly row: ClaimRow };
/** `raced`: the claim's row has another version. `away`: the table did not confirm the write. */
type WriteResult = ClaimOutcome | 'raced' | 'away';

const MAX_UNCERTAIN_CLAIMS = 10_000;

const fingerprintOf = ({ method, path, body }: ClaimRequest): string => {
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  return (body === null ? hash : hash.update(body)).digest('base64url');
};

const toStoredResponse = (
  answer: CompleteResponse | null,
  maxBytes: number,
): StoredAnswer | null => {
  if (!answer || answer.body.length > maxBytes) return null;
  const contentType = answer.headers['content-type'];
  return {
    status: answer.status,
    contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
    bodyBase64: answer.body.toString('base64'),
  };
};

const claimUnknownRefusal = (location: string): ClaimOutcome => ({
  kind: 'refused',
  verdict: 'mayHaveRun',
  reason: 'claim-unknown',
  detail:
    `${location} may hold an earlier claim of this key that cannot be seen now; ` +
    'a request that was never sent before may say valvelatch-attempt: first',
});

const ALREADY_RUNNING_REFUSAL: ClaimOutcome = {
  kind: 'refused',
  verdict: 'mayHaveRun',
  reason: 'already-running',
  detail: 'the same key is being sent through another entry at this moment',
};

/**
 * Creates the claim store.
 *
 * @param options - The table, the group commit, the claims in memory, and the id of this entry.
 * @returns The claim store.
 */
export const createClaimStore = ({
  table,
  groupCommit,
  outageClaims,
  dataCentresWithUnflushedClaims,
  ownEntryId,
  maxStoredResponseBytes = 16_384,
}: ClaimStoreOptions): ClaimStore => {
  const uncertainClaims: UncertainClaim[] = [];

  const holdInTable = (key: string, row: ClaimRow, version: number): HeldClaim => {
    const updateRow = async (next: ClaimRow): Promise<void> => {
      await groupCommit.submit({
        checks: [{ key: rowKey.claim(key), version }],
        writes: [{ key: rowKey.claim(key), value: next }],
      });
    };
    return {
      release: () => updateRow({ ...row, state: 'released' }),
      complete: (answer) =>
        updateRow({
          ...row,
          state: 'done',
          answer: toStoredResponse(answer, maxStoredResponseBytes),
        }),
    };
  };

  const holdInMemory = (key: string, row: ClaimRow): HeldClaim => ({
    release: async () => outageClaims.recordOutcome({ key, row: { ...row, state: 'released' } }),
    complete: async (answer) =>
      outageClaims.recordOutcome({
        key,
        row: { ...row, state: 'done', answer: toStoredResponse(answer, maxStoredResponseBytes) },
      }),
  });

  const newRow = (request: ClaimRequest, fingerprint: string): ClaimRow => ({
    service: request.service,
    fingerprint,
    entryId: ownEntryId,
    claimId: request.requestId,
    state: 'claimed',
    answer: null,
    claimedAtMs: Date.now(),
  });

  const writeClaim = async (
    { key, isFirstAttempt }: ClaimRequest,
    row: ClaimRow,
    version: number,
  ): Promise<WriteResult> => {
    // Fails once a loss of claims has been recorded. A first attempt cannot have an earlier claim.
    const claimLossCheck = isFirstAttempt ? [] : [{ key: rowKey.doubt, version: 0 }];
    const outcome = await groupCommit.submit({
      checks: [{ key: rowKey.claim(key), version }, ...claimLossCheck],
      writes: [{ key: rowKey.claim(key), value: row }],
    });
    if (outcome.isErr()) {
      // The request will not be sent, but the claim may have been written; it is released later.
      if (outcome.error.kind === 'unknown' && uncertainClaims.length < MAX_UNCERTAIN_CLAIMS)
        uncertainClaims.push({ key, row });
      return 'away';
    }
    if (outcome.value.kind === 'committed') {
      return { kind: 'claimed', claim: holdInTable(key, row, outcome.value.version) };
    }
    return outcome.value.key === rowKey.doubt
      ? claimUnknownRefusal('a replaced data centre')
      : 'raced';
  };

  /** Decides about a request from the row of its key; `claim` means that the key may be claimed. */
  const decideFromRow = (row: ClaimRow | null, fingerprint: string): ClaimOutcome | 'claim' => {
    const decision = decideClaim(row, fingerprint);
    if (decision.kind === 'claim') return 'claim';
    return decision.kind === 'refuse' ? { ...decision, kind: 'refused' } : decision;
  };

  const claimInMemory = async (request: ClaimRequest, row: ClaimRow): Promise<ClaimOutcome> => {
    if (!outageClaims.isAccepting()) {
      return {
        kind: 'refused',
        verdict: 'notRun',
        reason: 'claim-unavailable',
        detail: 'the platform is away and the claim cannot be kept safely without it',
      };
    }
    if (!request.isFirstAttempt) return claimUnknownRefusal('another data centre');
    const { key } = request;
    if (await outageClaims.acquire({ key, row })) {
      return { kind: 'claimed', claim: holdInMemory(key, row) };
    }
    return {
      kind: 'refused',
      verdict: 'notRun',
      reason: 'claim-unavailable',
      detail: 'another entry of this data centre could not keep the claim',
    };
  };

  /** Claims a key after reading its row; used if the row may exist or may be missing wrongly. */
  const claimAfterRead = async (
    request: ClaimRequest,
    row: ClaimRow,
  ): Promise<ClaimOutcome | 'away'> => {
    const read = await table.read([rowKey.claim(request.key)]);
    if (read.isErr()) return 'away';
    const [stored] = read.value;
    const storedRow = (stored?.value ?? null) as ClaimRow | null;
    const decision = decideFromRow(storedRow, row.fingerprint);
    if (decision !== 'claim') return decision;
    const [centre] =
      request.isFirstAttempt || storedRow !== null ? [] : dataCentresWithUnflushedClaims();
    if (centre !== undefined) return claimUnknownRefusal(`data centre ${centre}`);
    const retried = await writeClaim(request, row, stored?.version ?? 0);
    return retried === 'raced' ? ALREADY_RUNNING_REFUSAL : retried;
  };

  const claimInTable = async (
    request: ClaimRequest,
    row: ClaimRow,
  ): Promise<ClaimOutcome | 'away'> => {
    // If no data centre may hold an unflushed claim of the key, the claim is written without reading
    // the row first, which takes a single round trip unless the row exists.
    const maySkipRead = request.isFirstAttempt || dataCentresWithUnflushedClaims().length === 0;
    if (!maySkipRead) return claimAfterRead(request, row);
    const written = await writeClaim(request, row, 0);
    return written === 'raced' ? claimAfterRead(request, row) : written;
  };

  const claim = async (request: ClaimRequest): Promise<ClaimOutcome> => {
    const fingerprint = fingerprintOf(request);
    const row = newRow(request, fingerprint);
    const inMemoryRow = outageClaims.find(request.key);
    if (inMemoryRow) {
      const decision = decideFromRow(inMemoryRow, fingerprint);
      if (decision !== 'claim') return decision;
    }
    if (outageClaims.isAccepting()) return claimInMemory(request, row);
    const inTable = await claimInTable(request, row);
    return inTable === 'away' ? claimInMemory(request, row) : inTable;
  };

  const releaseUncertainClaim = async ({ key, row }: UncertainClaim): Promise<boolean> => {
    const read = await table.read([rowKey.claim(key)]);
    if (read.isErr()) return false;
    const [stored] = read.value;
    const storedRow = (stored?.value ?? null) as ClaimRow | null;
    if (!stored || storedRow?.claimId !== row.claimId || storedRow.state !== 'claimed') return true;
    const outcome = await table.transact({
      checks: [{ key: rowKey.claim(key), version: stored.version }],
      writes: [{ key: rowKey.claim(key), value: { ...row, state: 'released' } }],
    });
    return outcome.isOk();
  };

  const releaseUncertainClaims = async (): Promise<void> => {
    while (uncertainClaims.length > 0) {
      if (!(await releaseUncertainClaim(uncertainClaims[0] as UncertainClaim))) return;
      uncertainClaims.shift();
    }
  };

  return { claim, releaseUncertainClaims };
};
