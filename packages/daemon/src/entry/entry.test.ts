import { connect } from 'node:net';
import { once } from 'node:events';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { request } from 'undici';

import {
  send,
  startDeployment,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

const sendRaw = async (at: TestEntry, text: string): Promise<string> => {
  const { hostname, port } = new URL(at.entry.addresses.callersUrl);
  const socket = connect(Number(port), hostname);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(chunks).toString();
};

describe('an entry', () => {
  let deployment: Deployment;
  let at: TestEntry;

  beforeAll(async () => {
    deployment = await startDeployment();
    [at] = deployment.entries as [TestEntry];
  });
  afterAll(() => deployment.close());

  describe('towards callers', () => {
    it('gives the endpoint’s whole answer', async () => {
      const answer = await send(at, { body: 'three ploughs' });
      expect(answer).toMatchObject({ status: 200, text: 'three ploughs', verdict: 'ran' });
    });

    it.each([
      ['a wrong deadline', { 'valvelatch-deadline-ms': 'soon' }],
      ['a wrong mark', { 'valvelatch-repeatable': 'perhaps' }],
      ['a wrong key', { 'idempotency-key': 'x'.repeat(300) }],
    ])('refuses %s as malformed and not run', async (_, headers) => {
      expect(await send(at, { headers })).toMatchObject({
        status: 400,
        verdict: 'notRun',
        reason: 'malformed-request',
      });
    });

    it('refuses a request that is not repeatable and has no key', async () => {
      const answer = await send(at, { headers: { 'valvelatch-repeatable': 'false' } });
      expect(answer).toMatchObject({ status: 400, verdict: 'notRun', reason: 'key-required' });
    });

    it('refuses an unknown service and says when to come back', async () => {
      const answer = await send(at, { service: 'nothing' });
      expect(answer).toMatchObject({ status: 404, verdict: 'notRun', reason: 'unknown-service' });
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    });

    it('refuses a body that is too large', async () => {
      const answer = await send(at, { body: 'x'.repeat(9 * 1024 * 1024) }).catch(
        (error: { code?: string }) => error.code,
      );
      // The caller may still be sending when the refusal comes.
      if (typeof answer === 'object')
        expect(answer).toMatchObject({ status: 413, verdict: 'notRun' });
      expect((await send(at)).status).toBe(200);
    });

    it.each([
      ['noise', '\u0000\u0001\u0002\r\n\r\n'],
      [
        'a head that is too large',
        `GET /services/routing/x HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      ],
      [
        'two lengths',
        'POST /services/routing/x HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
      ],
    ])('answers %s with 4xx and goes on', async (_, text) => {
      expect(await sendRaw(at, text)).toMatch(/^HTTP\/1.1 4\d\d/);
      expect((await send(at)).status).toBe(200);
    });
  });

  describe('towards operators', () => {
    it.each([undefined, 'Bearer wrong', 'Bearer '])('is closed with %j for a key', async (key) => {
      const answer = await request(`${at.entry.addresses.operatorsUrl}/v1/status`, {
        method: 'POST',
        headers: key === undefined ? {} : { authorization: key },
      });
      await answer.body.dump();
      expect(answer.statusCode).toBe(401);
    });

    it('refuses bad declarations whole, with file, path and reason', async () => {
      const bad =
        'kind: Pool\nname: x\nspec: { reserveFor: planet }\n---\nkind: Team\nname: ok\nspec: { quotaCores: 1 }\n';
      const answer = await deployment.operate(at, 'apply', {
        files: [{ file: 'bad.yaml', text: bad }],
      });
      expect(answer).toMatchObject({
        kind: 'invalid',
        faults: [{ file: 'bad.yaml', path: 'document 1: spec.reserveFor' }],
      });
      const { value } = await deployment.operate(at, 'get', { kind: 'config' });
      expect((value as { revision: number }).revision).toBe(1);
    });

    it('answers why a request was refused, also through another entry', async () => {
      const refused = await send(at, { service: 'nothing' });
      const { requestId } = JSON.parse(refused.text) as { requestId: string };
      const other = deployment.entries[1] as TestEntry;
      const why = await deployment.operate(other, 'explain', { kind: 'request', name: requestId });
      expect(why).toMatchObject({
        kind: 'ok',
        value: { outcome: 'refused: unknown-service, verdict notRun' },
      });
    });
  });

  describe('towards other entries', () => {
    it('is closed without the mesh key', async () => {
      const { hostname, port } = new URL(at.entry.addresses.meshUrl);
      const answer = await request(`http://${hostname}:${port}/`, {
        headers: {
          connection: 'upgrade',
          upgrade: 'websocket',
          'sec-websocket-version': '13',
          'sec-websocket-key': Buffer.from('0123456789abcdef').toString('base64'),
          'valvelatch-mesh-key': 'wrong',
        },
      }).catch((error: { code: string }) => error.code);
      expect(answer).toSatisfy(
        (one: unknown) =>
          typeof one === 'string' || (one as { statusCode: number }).statusCode === 401,
      );
    });
  });
});
