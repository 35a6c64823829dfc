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

const sendRawRequest = async (testEntry: TestEntry, text: string): Promise<string> => {
  const { hostname, port } = new URL(testEntry.entry.addresses.callersUrl);
  const socket = connect(Number(port), hostname);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(chunks).toString();
};

describe('an entry', () => {
  let deployment: Deployment;
  let testEntry: TestEntry;

  beforeAll(async () => {
    deployment = await startDeployment();
    [testEntry] = deployment.entries as [TestEntry];
  });
  afterAll(() => deployment.close());

  describe('on the callers port', () => {
    it('returns the complete response of the endpoint', async () => {
      const response = await send(testEntry, { body: 'three ploughs' });
      expect(response).toMatchObject({ status: 200, text: 'three ploughs', verdict: 'ran' });
    });

    it.each([
      ['an invalid deadline', { 'valvelatch-deadline-ms': 'soon' }],
      ['an invalid repeatable mark', { 'valvelatch-repeatable': 'perhaps' }],
      ['a key that is too long', { 'idempotency-key': 'x'.repeat(300) }],
    ])('refuses %s as malformed with the verdict notRun', async (_, headers) => {
      expect(await send(testEntry, { headers })).toMatchObject({
        status: 400,
        verdict: 'notRun',
        reason: 'malformed-request',
      });
    });

    it('refuses a request that is neither repeatable nor has an idempotency key', async () => {
      const response = await send(testEntry, { headers: { 'valvelatch-repeatable': 'false' } });
      expect(response).toMatchObject({ status: 400, verdict: 'notRun', reason: 'key-required' });
    });

    it('refuses an unknown service and sends a retry-after header', async () => {
      const response = await send(testEntry, { service: 'nothing' });
      expect(response).toMatchObject({ status: 404, verdict: 'notRun', reason: 'unknown-service' });
      expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
    });

    it('refuses a body that is too large', async () => {
      const response = await send(testEntry, { body: 'x'.repeat(9 * 1024 * 1024) }).catch(
        (error: { code?: string }) => error.code,
      );
      // The client may still be sending when it is refused; the connection may then close without a response.
      if (typeof response === 'object')
        expect(response).toMatchObject({ status: 413, verdict: 'notRun' });
      expect((await send(testEntry)).status).toBe(200);
    });

    it.each([
      ['bytes that are not HTTP', '\u0000\u0001\u0002\r\n\r\n'],
      [
        'headers that are too large',
        `GET /services/routing/x HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
      ],
      [
        'two content-length headers',
        'POST /services/routing/x HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
      ],
    ])('answers %s with a 4xx status and keeps serving', async (_, text) => {
      expect(await sendRawRequest(testEntry, text)).toMatch(/^HTTP\/1.1 4\d\d/);
      expect((await send(testEntry)).status).toBe(200);
    });
  });

  describe('on the operators port', () => {
    it.each([undefined, 'Bearer wrong', 'Bearer '])(
      'answers 401 to the authorization header %j',
      async (key) => {
        const response = await request(`${testEntry.entry.addresses.operatorsUrl}/v1/status`, {
          method: 'POST',
          headers: key === undefined ? {} : { authorization: key },
        });
        await response.body.dump();
        expect(response.statusCode).toBe(401);
      },
    );

    it('rejects all declarations if one is invalid and reports its file and path', async () => {
      const bad =
        'kind: Pool\nname: x\nspec: { reserveFor: planet }\n---\nkind: Team\nname: ok\nspec: { quotaCores: 1 }\n';
      const response = await deployment.callOperatorApi(testEntry, 'apply', {
        files: [{ file: 'bad.yaml', text: bad }],
      });
      expect(response).toMatchObject({
        kind: 'invalid',
        faults: [{ file: 'bad.yaml', path: 'document 1: spec.reserveFor' }],
      });
      const { value } = await deployment.callOperatorApi(testEntry, 'get', { kind: 'config' });
      expect((value as { revision: number }).revision).toBe(1);
    });

    it('explains through another entry why a request was refused', async () => {
      const refused = await send(testEntry, { service: 'nothing' });
      const { requestId } = JSON.parse(refused.text) as { requestId: string };
      const other = deployment.entries[1] as TestEntry;
      const why = await deployment.callOperatorApi(other, 'explain', {
        kind: 'request',
        name: requestId,
      });
      expect(why).toMatchObject({
        kind: 'ok',
        value: { outcome: 'refused: unknown-service, verdict notRun' },
      });
    });
  });

  describe('on the mesh port', () => {
    it('refuses a connection with a wrong mesh key', async () => {
      const { hostname, port } = new URL(testEntry.entry.addresses.meshUrl);
      const response = await request(`http://${hostname}:${port}/`, {
        headers: {
          connection: 'upgrade',
          upgrade: 'websocket',
          'sec-websocket-version': '13',
          'sec-websocket-key': Buffer.from('0123456789abcdef').toString('base64'),
          'valvelatch-mesh-key': 'wrong',
        },
      }).catch((error: { code: string }) => error.code);
      expect(response).toSatisfy(
        (result: unknown) =>
          typeof result === 'string' || (result as { statusCode: number }).statusCode === 401,
      );
    });
  });
});
