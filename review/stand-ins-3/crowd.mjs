/* eslint-disable */
/**
 * Clients that keep to no limit: each sends many whole jobs of legal size ahead on one connection and reads no answer.
 * All of them together stay inside the link of the entry's machine. Ends with its standard input.
 */
import { randomBytes } from 'node:crypto';
import net from 'node:net';
import process from 'node:process';

const [, , address, clientsText, queue, hostName] = process.argv;
const [host, port] = address.split(':');
const CLIENTS = Number(clientsText);
const REQUESTS = 90;
const STEPS = 200;
const PIECE_BYTES = 65536;
/** Less than `linkMbps` of the settings: 1000 Mbit/s are 125 MB/s. */
const BYTES_PER_S = 100e6;
const TICK_MS = 5;

const body = JSON.stringify({
  spec: JSON.stringify({ workMs: 100 }),
  steps: Array.from({ length: STEPS }, (_, step) => ({
    count: 1,
    cpu: 100,
    memMb: 16,
    estMs: 100,
    after: Array.from({ length: step }, (_, earlier) => earlier),
  })),
});

const request = () =>
  `POST /${queue}/${randomBytes(8).toString('hex')} HTTP/1.1\r\nHost: ${hostName}\r\n` +
  `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const clients = [];
let sentBytes = 0;
let connections = 0;

const connect = (client) => {
  const socket = net.connect({ host, port: Number(port) });
  connections += 1;
  Object.assign(client, { socket, rest: Buffer.alloc(0), requests: 0, isOpen: false });
  socket.pause();
  socket.on('connect', () => {
    client.isOpen = true;
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    client.isOpen = false;
    setTimeout(() => connect(client), 100 + Math.random() * 300);
  });
};

for (let index = 0; index < CLIENTS; index += 1) {
  const client = {};
  clients.push(client);
  connect(client);
}

let roomBytes = 0;
setInterval(() => {
  roomBytes = Math.min(roomBytes, 0) + (BYTES_PER_S * TICK_MS) / 1000;
  clients.sort(() => Math.random() - 0.5);
  for (const client of clients) {
    if (roomBytes <= 0) return;
    if (!client.isOpen || client.socket.writableNeedDrain) continue;
    if (client.rest.length === 0) {
      if (client.requests >= REQUESTS) continue;
      client.requests += 1;
      client.rest = Buffer.from(request());
    }
    const piece = client.rest.subarray(0, PIECE_BYTES);
    client.rest = client.rest.subarray(piece.length);
    client.socket.write(piece);
    roomBytes -= piece.length;
    sentBytes += piece.length;
  }
}, TICK_MS);

setInterval(() => {
  process.stdout.write(`${JSON.stringify({ sentMb: Math.round(sentBytes / 1e6), connections })}\n`);
}, 1000);
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
process.stdin.on('error', () => process.exit(0));
