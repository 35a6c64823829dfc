/** Client accounts: the keys that identify a caller, and the ownership of jobs. */
import type { AccountName, Branded } from '../../shared/ids.js';
import type { Capacity } from './capacity.js';

/** The digest of an account's key. Only digests are stored and compared, because a key cannot be recovered from its digest. */
export type KeyDigest = Branded<'KeyDigest'>;

/** A client account as the configuration declares it. */
export type ClientAccount = {
  readonly name: AccountName;
  readonly keyDigests: readonly KeyDigest[];
  /** The account's priority; 0 goes before all others. */
  readonly priority: number;
  /** The account's share while there is not enough capacity for all jobs, in jobs per second. */
  readonly weight: number;
  /** The most that the account may have running at once on all endpoints; a resource of 0 has no limit. */
  readonly maximum: Capacity;
};

/**
 * The limits that a holder applies to an account. They come from the newest configuration that names the account, or else
 * from the rows of its jobs.
 */
export type AccountLimits = Pick<ClientAccount, 'maximum' | 'weight'>;

/** The account that owns a job, with the account's maximum at the time the job was accepted. */
export type JobOwner = Pick<ClientAccount, 'maximum'> & { readonly account: AccountName };

/** The account that makes a request; null for a caller without an account, who may use queues that are open to all. */
export type Caller = AccountName | null;

/** An index over the accounts of one configuration. */
export type AccountIndex = {
  readonly byName: ReadonlyMap<AccountName, ClientAccount>;
  readonly byKey: ReadonlyMap<KeyDigest, ClientAccount>;
};

/**
 * Builds an index, so that checking a key takes the same time however many keys there are.
 *
 * @param accounts - The accounts; a key that two of them share belongs to the first.
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
 * @param owner - The job's account; undefined for a job without one, which all callers of its queue may see.
 * @param caller - The caller.
 * @returns False for a job of another account. The caller must get the same answer for it as for a job that does not exist.
 */
export const maySee = (owner: AccountName | undefined, caller: Caller): boolean =>
  owner === undefined || owner === caller;
