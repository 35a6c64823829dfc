import { randomUUID } from 'node:crypto';

import type { ExecutorFault, StandInWorkers } from '@valvelatch/stand-ins';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';

import {
  countExecutions,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

describe('attempts at failing endpoints', () => {
  let deployment: Deployment;
  let entry: TestEntry;
  let workers: StandInWorkers;

  beforeAll(async () => {
    deployment = await startDeployment({ executors: 3, requestTimeoutMs: 1500 });
    [entry] = deployment.entries as [TestEntry];
    workers = deployment.workers.get('east') as StandInWorkers;
  });
  afterEach(async () => {
    workers.setExecutorFault('*', 'none');
    // Successful requests refill the retry budget that the previous test used, and end the
    // ejection of endpoints.
    await waitUntil('only successful responses in a batch of 250 requests', async () => {
      const answers = await Promise.all(Array.from({ length: 250 }, () => send(entry)));
      return answers.every(({ status }) => status === 200);
    });
  });
  afterAll(() => deployment.close());

  const sendOnce = (key: string, headers: Record<string, string> = {}) =>
    send(entry, { body: key, headers: { 'idempotency-key': key, ...headers } });

  describe('a request that is not repeatable', () => {
    const cases: readonly [ExecutorFault, number, string, string, number][] = [
      ['not-run', 503, 'notRun', 'endpoint-refused', 0],
      ['fail-fast', 500, 'ran', '', 0],
      ['half-answer', 502, 'ran', 'answer-incomplete', 1],
      ['wrong-answer', 502, 'ran', 'answer-incomplete', 1],
      ['reset-before', 503, 'mayHaveRun', 'endpoint-unreachable', 0],
      ['reset-after', 503, 'mayHaveRun', 'endpoint-unreachable', 1],
    ];

    it.each(cases)(
      'gets, from endpoints that fail with %s, status %i and verdict %s',
      async (fault, status, verdict, reason, executions) => {
        workers.setExecutorFault('*', fault);
        const key = randomUUID();
        expect(await sendOnce(key)).toMatchObject({ status, verdict, reason });
        expect(countExecutions(deployment, key)).toBe(executions);
      },
    );

    it('is refused once its deadline has passed, and not before', async () => {
      workers.setExecutorFault('*', 'hang');
      const key = randomUUID();
      const startedMs = performance.now();
      const answer = await sendOnce(key, { 'valvelatch-deadline-ms': '300' });
      expect(answer).toMatchObject({
        status: 504,
        verdict: 'mayHaveRun',
        reason: 'deadline-passed',
      });
      expect(performance.now() - startedMs).toBeGreaterThanOrEqual(295);
      expect(countExecutions(deployment, key)).toBe(1);
    });

    it('is sent to another endpoint if the first one reports that it did not run the request', async () => {
      workers.setExecutorFault('routing-0', 'not-run');
      const keys = Array.from({ length: 12 }, () => randomUUID());
      const answers = await Promise.all(keys.map((key) => sendOnce(key)));
      expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
      expect(answers).toHaveLength(keys.length);
      expect(keys.map((key) => countExecutions(deployment, key))).toEqual(keys.map(() => 1));
    });
  });

  describe('a repeatable request', () => {
    it.each(['fail-fast', 'half-answer', 'wrong-answer', 'reset-before', 'reset-after'] as const)(
      'is answered by another endpoint if one endpoint fails with %s',
      async (fault) => {
        workers.setExecutorFault('routing-1', fault);
        const bodies = Array.from({ length: 20 }, () => randomUUID());
        const answers = await Promise.all(bodies.map((body) => send(entry, { body })));
        expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
        expect(answers.map(({ text }) => text)).toEqual(bodies);
      },
    );

    it('is not sent to a third endpoint after two closed the connection without a response', async () => {
      // A request that crashes every endpoint that receives it must not crash a third one as well.
      workers.setExecutorFault('*', 'reset-after');
      const bodies = Array.from({ length: 5 }, () => randomUUID());
      const repeatable = { 'valvelatch-repeatable': 'true' };
      const answers = await Promise.all(bodies.map((body) => sendOnce(body, repeatable)));
      answers.forEach((answer) =>
        expect(answer).toMatchObject({ status: 503, verdict: 'mayHaveRun' }),
      );
      expect(Math.max(...bodies.map((body) => countExecutions(deployment, body)))).toBe(2);
    });

    it('is not retried indefinitely if all endpoints fail', async () => {
      const before = workers.report().served;
      workers.setExecutorFault('*', 'reset-before');
      const answers = await Promise.all(Array.from({ length: 40 }, () => send(entry)));
      expect(answers.every(({ status }) => status === 503)).toBe(true);
      expect(workers.report().served).toBe(before);
    });
  });

  describe('complete responses', () => {
    it('returns to each of many callers its own response or an error with a verdict', async () => {
      const [first, second] = deployment.entries as [TestEntry, TestEntry];
      const faults: readonly ExecutorFault[] = [
        'none',
        'half-answer',
        'none',
        'wrong-answer',
        'reset-after',
        'none',
      ];
      const timer = setInterval(() => {
        const fault = faults[Math.floor(performance.now() / 20) % faults.length] as ExecutorFault;
        workers.setExecutorFault('routing-2', fault);
      }, 20);
      const bodies = Array.from({ length: 1500 }, (_, index) => `${index}/${randomUUID()}`);
      const answers = await Promise.all(
        bodies.map((body, index) =>
          send(index % 2 === 0 ? first : second, {
            body,
            headers: { 'x-work-ms': String(index % 17), 'valvelatch-deadline-ms': '30000' },
          }),
        ),
      );
      clearInterval(timer);
      const wrong = answers.filter(
        ({ status, text }, index) => status === 200 && text !== bodies[index],
      );
      expect(wrong).toEqual([]);
      expect(answers.every(({ status, verdict }) => status === 200 || verdict !== '')).toBe(true);
      expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(100);
    });
  });
});
