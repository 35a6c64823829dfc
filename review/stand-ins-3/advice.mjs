/* eslint-disable */
/** A stand-in for the service of advice: it handles one call at a time for each calling machine, in turn. */
import http from 'node:http';
import { setTimeout } from 'node:timers';

const MAX_WAITING = 32;

/**
 * Starts the service. It lets every executor run every step, and skips calls whose caller has gone before their turn.
 *
 * @param options - The times of the queue's configuration, and what receives the events.
 */
export const startAdvice = async ({ decideMs, eachMs, validMs, record }) => {
  const tickets = new Map();
  let lastCall = Promise.resolve();
  let waiting = 0;

  const decide = async ({ step, workers }, request, response) => {
    if (request.socket.destroyed) {
      record('advice-skipped', { step });
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, decideMs + eachMs * workers.length);
    });
    if (request.socket.destroyed) {
      record('advice-given-to-nobody', { step });
      return;
    }
    const good = workers.map((id) => [id, `${step}/${id}`]);
    good.forEach(([, ticket]) => tickets.set(ticket, Date.now() + validMs));
    record('advice', { step, workers: workers.length });
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ good, validMs }));
  };

  const server = http.createServer(async (request, response) => {
    let text = '';
    for await (const chunk of request) text += chunk;
    const question = JSON.parse(text);
    record('advice-asked', { step: question.step, workers: question.workers.length, waiting });
    if (waiting >= MAX_WAITING) {
      response.writeHead(429).end('{}');
      return;
    }
    waiting += 1;
    // Only the holder of control asks, so there is one calling machine at a time.
    lastCall = lastCall.then(() => {
      waiting -= 1;
      return decide(question, request, response).catch(() => undefined);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Tells whether a start carries a ticket that holds. */
    mayStart: (task, id, ticket) => {
      const step = task.split('.').slice(0, 3).join('.');
      return ticket === `${step}/${id}` && (tickets.get(ticket) ?? 0) >= Date.now();
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};
