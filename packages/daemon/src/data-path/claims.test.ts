import { randomUUID } from 'node:crypto';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  executionsOf,
  pause,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

const first = { 'valvelatch-attempt': 'first' };

describe('at most once', () => {
  let deployment: Deployment;

  const sendOnce = (at: TestEntry, key: string, headers: Record<string, string> = {}) =>
    send(at, { body: key, headers: { 'idempotency-key': key, ...headers } });
  const newKeys = (count: number): readonly string[] =>
    Array.from({ length: count }, () => randomUUID() as string);

  beforeEach(async () => {
    deployment = await startDeployment({ dataCentres: ['east', 'west'] });
  });
  afterEach(() => deployment.close());

  describe('with the platform there', () => {
    it('runs a key once that comes through all entries at the same moment', async () => {
      const keys = newKeys(30);
      const sends = keys.flatMap((key) => deployment.entries.map((at) => ({ at, key })));
      const answers = await Promise.all(sends.map(({ at, key }) => sendOnce(at, key)));
      expect(keys.map((key) => executionsOf(deployment, key))).toEqual(keys.map(() => 1));
      const refused = answers.filter(({ status }) => status !== 200);
      expect(refused.every(({ verdict }) => verdict === 'mayHaveRun')).toBe(true);
      expect(answers.filter(({ text, status }) => status === 200 && !keys.includes(text))).toEqual(
        [],
      );
    });

    it('gives the kept answer to a resend, through any entry', async () => {
      const [a, , c] = deployment.entries as [TestEntry, TestEntry, TestEntry];
      const key = randomUUID();
      expect((await sendOnce(a, key)).status).toBe(200);
      await waitUntil('the kept answer', async () => (await sendOnce(c, key)).status === 200);
      const again = await sendOnce(c, key);
      expect(again).toMatchObject({ text: key, verdict: 'ran' });
      expect(again.headers['valvelatch-replayed']).toBe('true');
      expect(executionsOf(deployment, key)).toBe(1);
    });

    it('refuses a key that was used for another request', async () => {
      const [a] = deployment.entries as [TestEntry];
      const key = randomUUID();
      await sendOnce(a, key);
      const other = await send(a, { body: 'another', headers: { 'idempotency-key': key } });
      expect(other).toMatchObject({ status: 400, verdict: 'notRun' });
    });
  });

  describe('with a platform whose answers are lost', () => {
    it('runs nothing twice, and what it calls not run did not run', async () => {
      const keys = newKeys(20);
      deployment.platform.setFault({ mode: 'lose-answers' });
      const answers = await Promise.all(
        keys.map((key, index) => sendOnce(deployment.entries[index % 4] as TestEntry, key)),
      );
      keys.forEach((key, index) => {
        const executions = executionsOf(deployment, key);
        expect(executions).toBeLessThanOrEqual(1);
        if (answers[index]?.verdict === 'notRun') expect(executions).toBe(0);
      });
      deployment.platform.setFault({ mode: 'none' });
      const [key] = keys as [string];
      await waitUntil('a key that did not run to be free again', async () => {
        const again = await sendOnce(deployment.entries[1] as TestEntry, key);
        return again.status === 200;
      });
      expect(executionsOf(deployment, key)).toBe(1);
    });
  });

  describe('with the platform away', () => {
    const untilOpen = (at: TestEntry): Promise<void> =>
      waitUntil('claims in memory', async () => {
        const answer = await sendOnce(at, randomUUID(), first);
        return answer.status === 200;
      });

    it('serves first attempts, and nobody runs them again, then or later', async () => {
      const [a, b, c] = deployment.entries as [TestEntry, TestEntry, TestEntry];
      deployment.platform.setFault({ mode: 'down' });
      await untilOpen(a);
      const keys = newKeys(10);
      const answers = await Promise.all(keys.map((key) => sendOnce(a, key, first)));
      expect(answers.map(({ status }) => status)).toEqual(keys.map(() => 200));

      // Through the other entry of the data centre, which holds the claims too.
      const resent = await Promise.all(keys.map((key) => sendOnce(b, key)));
      expect(
        resent.every(({ status, verdict }) => status === 200 || verdict === 'mayHaveRun'),
      ).toBe(true);
      // Through another data centre, which cannot know of them.
      const elsewhere = await Promise.all(keys.map((key) => sendOnce(c, key)));
      expect(elsewhere.every(({ status }) => status !== 200)).toBe(true);

      deployment.platform.setFault({ mode: 'none' });
      await waitUntil('the claims in the table', async () => {
        const later = await Promise.all(keys.map((key) => sendOnce(c, key)));
        return later.every(
          ({ status, headers }) => status === 200 && headers['valvelatch-replayed'] === 'true',
        );
      });
      expect(keys.map((key) => executionsOf(deployment, key))).toEqual(keys.map(() => 1));
    });

    it('refuses a resend elsewhere while a data centre that is cut off may hold its claim', async () => {
      const [a, b, c] = deployment.entries as [TestEntry, TestEntry, TestEntry];
      [a, b].forEach(({ platformRelay }) => platformRelay.cut());
      await untilOpen(a);
      const key = randomUUID();
      expect((await sendOnce(a, key, first)).status).toBe(200);
      // The platform is there for this entry, and the table shows no claim.
      expect(await sendOnce(c, key)).toMatchObject({
        verdict: 'mayHaveRun',
        reason: 'claim-unknown',
      });
      expect((await sendOnce(c, randomUUID(), first)).status).toBe(200);
      [a, b].forEach(({ platformRelay }) => platformRelay.heal());
      await waitUntil('the kept answer', async () => (await sendOnce(c, key)).status === 200);
      expect(executionsOf(deployment, key)).toBe(1);
    });

    it('refuses at once, as not run, what it cannot claim', async () => {
      const [a] = deployment.entries as [TestEntry];
      deployment.platform.setFault({ mode: 'down' });
      await pause(50);
      const key = randomUUID();
      const answer = await sendOnce(a, key, first);
      if (answer.status !== 200)
        expect(answer).toMatchObject({ verdict: 'notRun', reason: 'claim-unavailable' });
      expect(executionsOf(deployment, key)).toBe(answer.status === 200 ? 1 : 0);
    });
  });
});
