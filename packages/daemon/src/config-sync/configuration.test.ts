import { fc, test } from '@fast-check/vitest';
import {
  emptyConfiguration,
  applyDeltas,
  applySnapshot,
  toSnapshot,
  type Configuration,
  type ConfigurationDelta,
  type Declaration,
} from '@valvelatch/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  pause,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

const team = (name: string, quotaCores: number): Declaration => ({
  kind: 'Team',
  name,
  labels: {},
  spec: { quotaCores, quotaAccelerators: 0 },
});

const history: readonly ConfigurationDelta[] = Array.from({ length: 12 }, (_, index) => ({
  revision: index + 1,
  changeId: `c${index}` as never,
  author: 'test',
  upserts: [team(`t${index % 3}`, index + 1)],
  deletes: index % 5 === 4 ? [`Team/t${(index + 1) % 3}` as const] : [],
}));
const states: readonly Configuration[] = history.reduce<Configuration[]>(
  (sum, delta) => [...sum, applyDeltas(sum[sum.length - 1] as Configuration, [delta])],
  [emptyConfiguration],
);

describe('configuration', () => {
  describe('in force at one entry', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('deltas' as const), from: fc.nat(11), count: fc.nat(6) }),
      fc.record({
        kind: fc.constant('snapshot' as const),
        from: fc.nat(12),
        count: fc.constant(0),
      }),
      fc.record({ kind: fc.constant('restart' as const), from: fc.nat(12), count: fc.constant(0) }),
    );
    test.prop([fc.array(step, { maxLength: 30 })], { seed: 31 })(
      'never returns to an older revision and always equals an accepted one, in any order of updates',
      (steps) => {
        let state = emptyConfiguration;
        steps.forEach(({ kind, from, count }) => {
          const before = state;
          if (kind === 'restart') state = emptyConfiguration;
          if (kind === 'snapshot') {
            state = applySnapshot(state, toSnapshot(states[from] as Configuration));
          }
          if (kind === 'deltas') {
            state = applyDeltas(state, history.slice(from, from + count).reverse());
          }
          if (kind !== 'restart') expect(state.revision).toBeGreaterThanOrEqual(before.revision);
          expect(toSnapshot(state)).toEqual(toSnapshot(states[state.revision] as Configuration));
        });
      },
    );
  });

  describe('among entries', () => {
    let deployment: Deployment;
    beforeEach(async () => {
      deployment = await startDeployment({ dataCentres: ['east', 'west'] });
    });
    afterEach(() => deployment.close());

    const withTeam = (quota: number) => [
      {
        file: 'all.yaml',
        text: `${deployment.declarations}---\nkind: Team\nname: late\nspec: { quotaCores: ${quota} }\n`,
      },
    ];
    const revisions = async (): Promise<readonly number[]> => {
      const [testEntry] = deployment.entries as [TestEntry];
      const { value } = await deployment.callOperatorApi(testEntry, 'status', {});
      return (value as { entries: readonly { revision: number }[] }).entries.map(
        ({ revision }) => revision,
      );
    };

    it('accepts one of two racing operators and shows the other the difference', async () => {
      const responses = await Promise.all(
        deployment.entries.slice(0, 2).map((testEntry, index) =>
          deployment.callOperatorApi(testEntry, 'apply', {
            files: withTeam(index + 1),
            baseRevision: 1,
            waitMs: 3000,
          }),
        ),
      );
      expect(responses.map(({ kind }) => kind).sort()).toEqual(['conflict', 'ok']);
      const loser = responses.find(({ kind }) => kind === 'conflict');
      expect(loser?.value).toMatchObject({ revision: 2, difference: { changed: ['Team/late'] } });
      expect(await revisions()).toEqual([2, 2, 2, 2]);
    });

    it('reaches a new entry from its peers while the platform is unavailable', async () => {
      deployment.platform.setFault({ mode: 'down' });
      await pause(100);
      const added = await deployment.addEntry('east', 'east-entry-new');
      await waitUntil('the configuration', async () => {
        const { value } = await deployment.callOperatorApi(added, 'get', { kind: 'config' });
        return (value as { revision: number }).revision === 1;
      });
      // The new entry holds no seat, but it can forward requests to an entry of another data centre.
      await waitUntil('an answer', async () => (await send(added)).status === 200);
    });

    it('must be known to an entry, which otherwise refuses requests with the verdict notRun', async () => {
      const alone = await startDeployment({ dataCentres: ['east'], seats: 1, executors: 1 });
      const [testEntry] = alone.entries as [TestEntry];
      alone.platform.setFault({ mode: 'down' });
      await testEntry.entry.stop();
      await testEntry.platformRelay.close();
      alone.entries.pop();
      const added = await alone.addEntry('east', 'east-entry-new');
      expect(await send(added)).toMatchObject({
        status: 503,
        verdict: 'notRun',
        reason: 'no-configuration',
      });
      await alone.close();
    });

    it('comes into force at all entries despite replaced entries and an outage of the platform', async () => {
      const [first] = deployment.entries as [TestEntry];
      const seen: number[] = [];
      for (let change = 1; change <= 6; change += 1) {
        if (change === 3) deployment.platform.setFault({ mode: 'down' });
        if (change === 4) deployment.platform.setFault({ mode: 'none' });
        const response = await deployment.callOperatorApi(first, 'apply', {
          files: withTeam(change),
          waitMs: 3000,
        });
        if (change === 3) expect(response.kind).toBe('unavailable');
        else expect(response).toMatchObject({ kind: 'ok', value: { unreachable: [] } });
        seen.push(Math.min(...(await revisions())));
        if (change === 5) {
          const [old] = deployment.entries.splice(3, 1) as [TestEntry];
          await old.entry.stop();
          await old.platformRelay.close();
          await deployment.addEntry('west', 'west-entry-new');
        }
      }
      expect(seen).toEqual([...seen].sort((a, b) => a - b));
      expect(await revisions()).toEqual([6, 6, 6, 6]);
    });
  });
});
