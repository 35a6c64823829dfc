/**
 * The baseline of the data-path benchmark: a minimal forwarder with the same libraries as an entry.
 */
import fastify from 'fastify';
import { Pool } from 'undici';

const [target = ''] = process.argv.slice(2);
const pool = new Pool(target, { connections: 64, pipelining: 1 });
const app = fastify();

app.removeAllContentTypeParsers();
app.addContentTypeParser('*', { parseAs: 'buffer' }, (_, body, done) => done(null, body));

app.get('/usage', (_, reply) => reply.send(process.cpuUsage()));
app.all('/*', async (request, reply) => {
  const answer = await pool.request({
    method: request.method,
    path: request.url,
    headers: { 'content-type': 'application/octet-stream' },
    body: request.body as Buffer,
  });
  const body = Buffer.from(await answer.body.arrayBuffer());
  return reply.code(answer.statusCode).send(body);
});

const url = await app.listen({ host: '127.0.0.1', port: 0 });
process.stdout.write(`event=listening url=${url}\n`);
process.once('SIGTERM', () => process.exit(0));
