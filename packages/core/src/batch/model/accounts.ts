/** Client accounts: whose keys open which queues, and which jobs belong to whom. */
import type { AccountName, Branded } from '../../shared/ids.js';
import type { Capacity } from './capacity.js';

/** A key as it is kept and compared: its digest, from which it cannot be found. */
export type KeyDigest = Branded<'KeyDigest'>;

/** A client account as the configuration declares it. */
export type ClientAccount = {
  readonly name: AccountName;
  readonly keyDigests: readonly KeyDigest[];
  /** 0 goes before all others. */
  readonly priority: number;
  /** Its share when all is full, in jobs a second. */
  readonly weight: number;
  /** What it may have running at once on all endpoints; 0 is without a limit. */
  readonly maximum: Capacity;
};

/** What a holder goes by for an account: from the newest configuration that named it, or from the rows of its jobs. */
export type AccountLimits = Pick<ClientAccount, 'maximum' | 'weight'>;

/** Who owns a job, and what its account might have running as the job came in. */
export type JobOwner = Pick<ClientAccount, 'maximum'> & { readonly account: AccountName };

/** Who makes a request: an account, or null for a caller of a queue that is open to all. */
export type Caller = AccountName | null;

/** An index over the accounts of one configuration. */
export type AccountIndex = {
  readonly byName: ReadonlyMap<AccountName, ClientAccount>;
  readonly byKey: ReadonlyMap<KeyDigest, ClientAccount>;
};

/**
 * Builds an index, so that the check of a key does not take longer with more keys.
 *
 * @param accounts - The accounts; a key of two of them stays with the first.
 * @returns The index.
 */
export const indexAccounts = (accounts: readonly ClientAccount[]): AccountIndex => {
  const byKey = new Map<KeyDigest, ClientAccount>();
  accounts.forEach((account) =>
    account.keyDigests.forEach((digest) => {
      if (!byKey.has(digest)) byKey.set(digest, account);
    }),
  );
  return { byName: new Map(accounts.map((account) => [account.name, account])), byKey };
};

/**
 * Tells whether a caller may see and cancel a job.
 *
 * @param owner - The job's account; undefined for a job of none, which all callers of its queue may see.
 * @param caller - Who asks.
 * @returns False for a job of another account, which must look to the caller like one that is not there.
 */
export const maySee = (owner: AccountName | undefined, caller: Caller): boolean =>
  owner === undefined || owner === caller;
