/** Who gets in by which key, and what an entry says that cannot know. */
import { createHash } from 'node:crypto';

import {
  indexQueues,
  NO_LIMIT,
  type ClientAccount,
  type KeyDigest,
  type QueueIndex,
} from '@valvelatch/core/batch';
import { brand, type AccountName } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createAccess, type AccessRequest } from './access.js';
import type { Currency } from '../configuration/configuration-keeper.js';

const digestOf = (key: string): KeyDigest =>
  brand<KeyDigest>(createHash('sha256').update(key).digest('base64'));

const accountOf = (name: string, ...keys: readonly string[]): ClientAccount => ({
  name: brand(name),
  keyDigests: keys.map(digestOf),
  priority: 0,
  weight: 1,
  maximum: NO_LIMIT,
});

const queueOf = (name: string, isOpenToAll: boolean) => ({
  name: brand<never>(name),
  hostName: 'h',
  pathPrefix: `/${name}/`,
  pool: brand<never>('p'),
  timeoutMs: 3000,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
  isOpenToAll,
});

const indexOf = (version: number, accounts: readonly ClientAccount[]): QueueIndex =>
  indexQueues({
    version,
    queues: [queueOf('keyed', false), queueOf('open', true)],
    pools: [],
    accounts,
  });

const BEFORE = indexOf(1, [accountOf('north', 'old-key'), accountOf('south', 'south-key')]);
const AFTER = indexOf(2, [accountOf('north', 'new-key'), accountOf('south', 'south-key')]);

type Options = {
  readonly index?: QueueIndex | undefined;
  /** What a question to neighbours brings. */
  readonly refreshed?: QueueIndex;
  readonly currency?: Partial<Currency>;
};

const accessWith = ({ index, refreshed, currency = {} }: Options) => {
  let inForce = index;
  let refreshes = 0;
  const lines: string[] = [];
  const note = (event: string, fields?: object): void => {
    lines.push(`${event} ${JSON.stringify(fields)}`);
  };
  const access = createAccess({
    configuration: {
      index: () => inForce,
      currency: () => ({ version: 1, ageMs: 20, isDoubtful: false, ...currency }),
      refresh: async () => {
        refreshes += 1;
        inForce = refreshed ?? inForce;
      },
    },
    log: { debug: note, info: note, warn: note, error: note },
    metrics: createMetrics(),
  });
  const admit = (key?: string, path = '/keyed/00000000000000aa') => {
    const request: AccessRequest = {
      hostName: 'h',
      path,
      keyDigest: key === undefined ? undefined : digestOf(key),
    };
    return access.admit(request);
  };
  return { admit, lines, refreshes: () => refreshes };
};

describe('a request to a queue that needs a key', () => {
  it('gets in for the account that has the key', async () => {
    const { admit, refreshes } = accessWith({ index: BEFORE });
    const admitted = await admit('south-key');
    expect(admitted).toMatchObject({ kind: 'admitted', caller: 'south', name: '00000000000000aa' });
    expect(refreshes()).toBe(0);
  });

  it.each([undefined, '', 'no-key', 'south-ke', 'south-key '])(
    'is refused with 401 as not run with the key %j',
    async (key) => {
      const { admit } = accessWith({ index: BEFORE });
      expect(await admit(key)).toMatchObject({
        status: 401,
        verdict: 'notRun',
        reason: 'unknown-key',
      });
    },
  );

  it('gets in with a key that a neighbour has heard of first', async () => {
    const { admit } = accessWith({ index: BEFORE, refreshed: AFTER });
    expect(await admit('new-key')).toMatchObject({ kind: 'admitted', caller: 'north' });
  });

  it('is refused with the key that a newer version took away', async () => {
    const { admit } = accessWith({ index: AFTER });
    expect(await admit('old-key')).toMatchObject({ status: 401, reason: 'unknown-key' });
  });

  it('is sent away, not refused for good, by an entry that cannot know of a newer version', async () => {
    const { admit } = accessWith({ index: BEFORE, currency: { ageMs: 9000, isDoubtful: true } });
    expect(await admit('new-key')).toMatchObject({
      status: 503,
      verdict: 'notRun',
      reason: 'configuration-doubtful',
      detail: expect.stringContaining('version 1, 9000 ms old') as string,
    });
  });

  it('gets in by what is known at an entry that cannot know of a newer version', async () => {
    const { admit } = accessWith({ index: BEFORE, currency: { isDoubtful: true } });
    expect(await admit('old-key')).toMatchObject({ kind: 'admitted', caller: 'north' });
  });

  it('leaves no key in a line of the log', async () => {
    const { admit, lines } = accessWith({ index: BEFORE });
    await admit('secret-of-nobody');
    expect(lines).toHaveLength(1);
    expect(lines.join()).not.toContain('secret-of-nobody');
  });
});

describe('a request to a queue that is open to all', () => {
  it.each([undefined, 'no-key', 'south-key'])(
    'gets in for no account with the key %j',
    async (key) => {
      const { admit } = accessWith({ index: BEFORE });
      expect(await admit(key, '/open/1')).toMatchObject({ kind: 'admitted', caller: null });
    },
  );
});

describe('a request for a queue that is not there', () => {
  it('is refused with 404 by an entry that is up to date, and sent away by one that cannot know', async () => {
    const known = accessWith({ index: BEFORE });
    expect(await known.admit(undefined, '/none/1')).toMatchObject({ status: 404 });
    const doubtful = accessWith({ index: BEFORE, currency: { isDoubtful: true } });
    expect(await doubtful.admit(undefined, '/none/1')).toMatchObject({ status: 503 });
  });
});

describe('a key of two accounts', () => {
  it('stays with the first', async () => {
    const index = indexOf(1, [accountOf('first', 'key'), accountOf('second', 'key')]);
    const { admit } = accessWith({ index });
    expect(await admit('key')).toMatchObject({ caller: 'first' as AccountName });
  });
});
