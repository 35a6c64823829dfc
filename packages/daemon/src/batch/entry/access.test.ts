/** Which keys give access, and what an entry answers if its configuration may be out of date. */
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
import type { ConfigurationFreshness } from '../configuration/configuration-sync.js';

const hashKey = (key: string): KeyDigest =>
  brand<KeyDigest>(createHash('sha256').update(key).digest('base64'));

const accountOf = (name: string, ...keys: readonly string[]): ClientAccount => ({
  name: brand(name),
  keyDigests: keys.map(hashKey),
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
  /** The configuration that neighbours give when they are asked; none if undefined. */
  readonly refreshed?: QueueIndex;
  readonly freshness?: Partial<ConfigurationFreshness>;
};

const createTestAccess = ({ index, refreshed, freshness = {} }: Options) => {
  let inForce = index;
  let refreshes = 0;
  const lines: string[] = [];
  const recordLine = (event: string, fields?: object): void => {
    lines.push(`${event} ${JSON.stringify(fields)}`);
  };
  const access = createAccess({
    configuration: {
      index: () => inForce,
      freshness: () => ({ version: 1, ageMs: 20, mayBeOutdated: false, ...freshness }),
      refreshFromNeighbours: async () => {
        refreshes += 1;
        inForce = refreshed ?? inForce;
      },
    },
    log: { debug: recordLine, info: recordLine, warn: recordLine, error: recordLine },
    metrics: createMetrics(),
  });
  const admit = (key?: string, path = '/keyed/00000000000000aa') => {
    const request: AccessRequest = {
      hostName: 'h',
      path,
      keyDigest: key === undefined ? undefined : hashKey(key),
    };
    return access.admit(request);
  };
  return { admit, lines, refreshes: () => refreshes };
};

describe('a request to a queue that needs a key', () => {
  it('is allowed for the account that has the key', async () => {
    const { admit, refreshes } = createTestAccess({ index: BEFORE });
    const admitted = await admit('south-key');
    expect(admitted).toMatchObject({
      kind: 'admitted',
      caller: 'south',
      subpath: '00000000000000aa',
    });
    expect(refreshes()).toBe(0);
  });

  it.each([undefined, '', 'no-key', 'south-ke', 'south-key '])(
    'is refused as not run, with status 401, with the key %j',
    async (key) => {
      const { admit } = createTestAccess({ index: BEFORE });
      expect(await admit(key)).toMatchObject({
        status: 401,
        verdict: 'notRun',
        reason: 'unknown-key',
      });
    },
  );

  it("is allowed with a key that only a neighbour's newer configuration has", async () => {
    const { admit } = createTestAccess({ index: BEFORE, refreshed: AFTER });
    expect(await admit('new-key')).toMatchObject({ kind: 'admitted', caller: 'north' });
  });

  it('is refused with a key that a newer version has removed', async () => {
    const { admit } = createTestAccess({ index: AFTER });
    expect(await admit('old-key')).toMatchObject({ status: 401, reason: 'unknown-key' });
  });

  it('is to be retried, not refused for good, at an entry that may have missed a newer version', async () => {
    const { admit } = createTestAccess({
      index: BEFORE,
      freshness: { ageMs: 9000, mayBeOutdated: true },
    });
    expect(await admit('new-key')).toMatchObject({
      status: 503,
      verdict: 'notRun',
      reason: 'configuration-doubtful',
      detail: expect.stringContaining('version 1, 9000 ms old') as string,
    });
  });

  it('is allowed by the version in force at an entry that may have missed a newer one', async () => {
    const { admit } = createTestAccess({ index: BEFORE, freshness: { mayBeOutdated: true } });
    expect(await admit('old-key')).toMatchObject({ kind: 'admitted', caller: 'north' });
  });

  it('leaves no key in the log', async () => {
    const { admit, lines } = createTestAccess({ index: BEFORE });
    await admit('secret-of-nobody');
    expect(lines).toHaveLength(1);
    expect(lines.join()).not.toContain('secret-of-nobody');
  });
});

describe('a request to a queue that is open to all', () => {
  it.each([undefined, 'no-key', 'south-key'])(
    'is allowed without an account, with the key %j',
    async (key) => {
      const { admit } = createTestAccess({ index: BEFORE });
      expect(await admit(key, '/open/1')).toMatchObject({ kind: 'admitted', caller: null });
    },
  );
});

describe('a request for a queue that does not exist', () => {
  it('is refused with 404 by an up-to-date entry, with 503 by one that may have missed a newer version', async () => {
    const known = createTestAccess({ index: BEFORE });
    expect(await known.admit(undefined, '/none/1')).toMatchObject({ status: 404 });
    const doubtful = createTestAccess({ index: BEFORE, freshness: { mayBeOutdated: true } });
    expect(await doubtful.admit(undefined, '/none/1')).toMatchObject({ status: 503 });
  });
});

describe('a key that two accounts have', () => {
  it('counts for the first account', async () => {
    const index = indexOf(1, [accountOf('first', 'key'), accountOf('second', 'key')]);
    const { admit } = createTestAccess({ index });
    expect(await admit('key')).toMatchObject({ caller: 'first' as AccountName });
  });
});
