import { randomUUID } from 'node:crypto';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  countExecutions,
  pause,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

const first = { 'valvelatch-attempt': 'first' };

describe('requests that are not repeatable run at most once', () => {
  let deployment: Deployment;

  const sendOnce = (entry: TestEntry, key: string, headers: Record<string, string> = {}) =>
    send(entry, { body: key, headers: { 'idempotency-key': key, ...headers } });
  const newKeys = (count: number): readonly string[] =>
    Array.from({ length: count }, () => randomUUID() as string);

  beforeEach(async () => {
    deployment = await startDeployment({ dataCentres: ['east', 'west'] });
  });
  afterEach(() => deployment.close());

  describe('while the platform is available', () => {
    it('runs a key once if it is sent through all entries concurrently', async () => {
      const keys = newKeys(30);
      const sends = keys.flatMap((key) => deployment.entries.map((entry) => ({ entry, key })));
      const answers = await Promise.all(sends.map(({ entry, key }) => sendOnce(entry, key)));
      expect(keys.map((key) => countExecutions(deployment, key))).toEqual(keys.map(() => 1));
      const refused = answers.filter(({ status }) => status !== 200);
      expect(refused.every(({ verdict }) => verdict === 'mayHaveRun')).toBe(true);
      expect(answers.filter(({ text, status }) => status === 200 && !keys.includes(text))).toEqual(
        [],
      );
    });

    it('replays the stored response to a resend through any entry', async () => {
      const [eastEntry, , westEntry] = deployment.entries as [TestEntry, TestEntry, TestEntry];
      const key = randomUUID();
      expect((await sendOnce(eastEntry, key)).status).toBe(200);
      await waitUntil(
        'the stored response',
        async () => (await sendOnce(westEntry, key)).status === 200,
      );
      const again = await sendOnce(westEntry, key);
      expect(again).toMatchObject({ text: key, verdict: 'ran' });
      expect(again.headers['valvelatch-replayed']).toBe('true');
      expect(countExecutions(deployment, key)).toBe(1);
    });

    it('refuses a key that was used for a different request', async () => {
      const [eastEntry] = deployment.entries as [TestEntry];
      const key = randomUUID();
      await sendOnce(eastEntry, key);
      const other = await send(eastEntry, { body: 'another', headers: { 'idempotency-key': key } });
      expect(other).toMatchObject({ status: 400, verdict: 'notRun' });
    });
  });

  describe('while responses of the platform are lost', () => {
    it('runs no request twice, and none whose verdict is notRun', async () => {
      const keys = newKeys(20);
      deployment.platform.setFault({ mode: 'lose-answers' });
      const answers = await Promise.all(
        keys.map((key, index) => sendOnce(deployment.entries[index % 4] as TestEntry, key)),
      );
      keys.forEach((key, index) => {
        const executions = countExecutions(deployment, key);
        expect(executions).toBeLessThanOrEqual(1);
        if (answers[index]?.verdict === 'notRun') expect(executions).toBe(0);
      });
      deployment.platform.setFault({ mode: 'none' });
      const [key] = keys as [string];
      await waitUntil('a released claim', async () => {
        const again = await sendOnce(deployment.entries[1] as TestEntry, key);
        return again.status === 200;
      });
      expect(countExecutions(deployment, key)).toBe(1);
    });
  });

  describe('while the platform is unavailable', () => {
    const untilOpen = (entry: TestEntry): Promise<void> =>
      waitUntil('a claim held in memory', async () => {
        const answer = await sendOnce(entry, randomUUID(), first);
        return answer.status === 200;
      });

    it('serves first attempts, and no resend runs them again during the outage or after it', async () => {
      const [eastEntry, otherEastEntry, westEntry] = deployment.entries as [
        TestEntry,
        TestEntry,
        TestEntry,
      ];
      deployment.platform.setFault({ mode: 'down' });
      await untilOpen(eastEntry);
      const keys = newKeys(10);
      const answers = await Promise.all(keys.map((key) => sendOnce(eastEntry, key, first)));
      expect(answers.map(({ status }) => status)).toEqual(keys.map(() => 200));

      // Resent through the other entry of the data centre, which holds copies of the claims.
      const resent = await Promise.all(keys.map((key) => sendOnce(otherEastEntry, key)));
      expect(
        resent.every(({ status, verdict }) => status === 200 || verdict === 'mayHaveRun'),
      ).toBe(true);
      // Resent through another data centre, which has no copies of the claims.
      const resentInWest = await Promise.all(keys.map((key) => sendOnce(westEntry, key)));
      expect(resentInWest.every(({ status }) => status !== 200)).toBe(true);

      deployment.platform.setFault({ mode: 'none' });
      await waitUntil('the claims to be written to the table', async () => {
        const later = await Promise.all(keys.map((key) => sendOnce(westEntry, key)));
        return later.every(
          ({ status, headers }) => status === 200 && headers['valvelatch-replayed'] === 'true',
        );
      });
      expect(keys.map((key) => countExecutions(deployment, key))).toEqual(keys.map(() => 1));
    });

    it('refuses a resend in another data centre while a disconnected one may hold its claim', async () => {
      const [eastEntry, otherEastEntry, westEntry] = deployment.entries as [
        TestEntry,
        TestEntry,
        TestEntry,
      ];
      [eastEntry, otherEastEntry].forEach(({ platformRelay }) => platformRelay.cut());
      await untilOpen(eastEntry);
      const key = randomUUID();
      expect((await sendOnce(eastEntry, key, first)).status).toBe(200);
      // This entry reaches the platform, but the table holds no claim of the key yet.
      expect(await sendOnce(westEntry, key)).toMatchObject({
        verdict: 'mayHaveRun',
        reason: 'claim-unknown',
      });
      expect((await sendOnce(westEntry, randomUUID(), first)).status).toBe(200);
      [eastEntry, otherEastEntry].forEach(({ platformRelay }) => platformRelay.heal());
      await waitUntil(
        'the stored response',
        async () => (await sendOnce(westEntry, key)).status === 200,
      );
      expect(countExecutions(deployment, key)).toBe(1);
    });

    it('either runs a request once or refuses it as not run, right after the outage begins', async () => {
      const [eastEntry] = deployment.entries as [TestEntry];
      deployment.platform.setFault({ mode: 'down' });
      await pause(50);
      const key = randomUUID();
      const answer = await sendOnce(eastEntry, key, first);
      if (answer.status !== 200)
        expect(answer).toMatchObject({ verdict: 'notRun', reason: 'claim-unavailable' });
      expect(countExecutions(deployment, key)).toBe(answer.status === 200 ? 1 : 0);
    });
  });
});
