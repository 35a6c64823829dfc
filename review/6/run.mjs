/* eslint-disable */
/**
 * The holder of control is killed while its client cancels a job. The workers don't guard their capacity. TROUBLE=0 leaves
 * the kill out.
 */
import { appendFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import { call, startEntries, waitUntilReady } from '../stand-ins-2/entries.mjs';
import { startFleet } from '../stand-ins-2/fleet.mjs';
import { startStore } from '../stand-ins-2/store.mjs';

const RECORD = path.join(import.meta.dirname, 'record.txt');
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const [HELD, BROKEN, COULD_NOT_RUN] = [0, 1, 2];

const ZONES = ['hall-bhuj', 'hall-anjar', 'hall-rapar'];
const HOST = 'pule25.example';
const PREFIX = '/puxa400/';
const CAPACITY = { cpu: 32_000, memMb: 131_072 };
const WORKERS = 4;
/** Both jobs: one step whose tasks take all the room of the workers. */
const TASKS = 32;
const FIRST = { ms: 80_000, cpu: 4000, memMb: 8000 };
const SECOND = { ms: 2000, cpu: 4000, memMb: 8000 };
/** How long a stop takes; at most `stopMs`, 900 ms. */
const STOP_MS = 700;
const RESTARTED_AFTER_MS = 3500;
const END_MS = 60_000;

const startedAtMs = performance.now();
const nowMs = () => Math.round(performance.now() - startedAtMs);
writeFileSync(RECORD, '');
const record = (event, fields = {}) =>
  appendFileSync(RECORD, `${nowMs()} ${event} ${JSON.stringify(fields)}\n`);
const say = (text) => {
  record('note', { text });
  process.stdout.write(`${nowMs()} ms: ${text}\n`);
};

const configuration = {
  version: 7,
  routes: [
    {
      name: 'r-plan',
      host: HOST,
      pathPrefix: PREFIX,
      kind: 'non_idempotent',
      timeoutMs: 3000,
      targetLatencyMs: 60_000,
      priority: 1,
      service: 'saltyard',
      maxAttempts: 3,
      stretch: 50,
    },
  ],
  services: [
    {
      name: 'saltyard',
      healthPath: '/health',
      maxConns: 64,
      protocol: 'h1',
      tls: false,
      admissionCheck: false,
      spare: false,
    },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000 },
};

const run = async () => {
  const over = [];
  let store;
  let fleet;
  let entries;
  const close = async () => {
    await entries?.close();
    fleet?.close();
    store?.close();
  };
  try {
    store = await startStore({ record });
    fleet = await startFleet({
      store,
      zones: ZONES,
      capacity: CAPACITY,
      guards: false,
      stopMs: STOP_MS,
      pools: { saltyard: { count: WORKERS, perRack: 4 } },
      record: (event, fields) => {
        record(event, fields);
        if (event === 'start' && fields.isOver) over.push({ atMs: nowMs(), ...fields });
      },
    });
    store.put('op', 'config', configuration);
    entries = await startEntries({ store, fleet, zones: ZONES, record });
    for (const entry of entries.entries) {
      if (await waitUntilReady(entry)) continue;
      say(`${entry.name} is not ready`);
      return { verdict: COULD_NOT_RUN, close };
    }
    await sleep(4000);

    const holderName = () => store.read('lease', 'control', 'control')?.holder;
    const others = () =>
      entries.entries.filter(({ name, isRunning }) => isRunning && name !== holderName());
    const ask = async (method, jobId, body) => {
      const [entry] = others();
      const answer = await call({
        port: entry.front,
        method,
        host: HOST,
        path: `${PREFIX}${jobId}`,
        body,
      });
      record(method, { entry: entry.name, jobId, ...answer });
      return answer;
    };
    const submit = (jobId, { ms, cpu, memMb }) =>
      ask('POST', jobId, {
        spec: JSON.stringify({ ms, cpu, memMb }),
        steps: [{ count: TASKS, cpu, memMb, estMs: ms }],
      });
    const firstId = 'aaaaaaaaaaaaaaa1';
    const secondId = 'bbbbbbbbbbbbbbb2';
    const countRuns = (jobId) =>
      Array.from(fleet.machines.values()).reduce(
        (sum, { life }) =>
          sum + Array.from(life.runs.keys()).filter((task) => task.startsWith(jobId)).length,
        0,
      );
    if ((await submit(firstId, FIRST)).status !== 200) {
      say('the first job was not accepted');
      return { verdict: COULD_NOT_RUN, close };
    }
    for (let waitedMs = 0; waitedMs < 8000 && countRuns(firstId) < TASKS; waitedMs += 50)
      await sleep(50);
    say(`the first job has ${countRuns(firstId)} of ${TASKS} tasks at work`);
    if ((await submit(secondId, SECOND)).status !== 200) {
      say('the second job was not accepted');
      return { verdict: COULD_NOT_RUN, close };
    }
    await sleep(3000);

    if (HAS_TROUBLE) {
      const holder = entries.entries.find(({ name }) => name === holderName());
      say(`the holder ${holder.name} is killed`);
      holder.child.kill('SIGKILL');
      setTimeout(() => entries.restart(holder), RESTARTED_AFTER_MS);
      await sleep(300);
    }
    const { status } = await ask('DELETE', firstId);
    say(`the cancelling of the first job was answered ${status}`);

    let state = '';
    while (nowMs() < END_MS && state !== 'completed') {
      state = (await ask('GET', secondId)).body?.state ?? state;
      await sleep(300);
    }
    say(`the second job is shown as ${state}`);
    say(`starts over the capacity of a worker: ${over.length}`);
    if (over.length > 0) say(`the first: ${JSON.stringify(over[0])}`);
    entries.entries
      .flatMap(({ lives }) => lives.flat())
      .filter((line) => /event=(task-stop|control-holder|term-recovered|job-cancel)/.test(line))
      .forEach((line) => record('log', { line }));
    if (state !== 'completed') return { verdict: COULD_NOT_RUN, close };
    const isBroken = over.length > 0;
    say(isBroken ? 'LIMIT is broken' : 'LIMIT holds');
    return { verdict: isBroken ? BROKEN : HELD, close };
  } catch (error) {
    say(`could not run: ${error?.stack ?? error}`);
    return { verdict: COULD_NOT_RUN, close };
  }
};

const { verdict, close } = await run();
await close();
process.exit(verdict);
