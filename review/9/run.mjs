/**
 * A client hands in a job that is due once a second and whose first time lies a day back. With TROUBLE=0 the job has six
 * times, one each 2 s.
 * Exits with 1 if the rule LOST was broken, with 0 if it held, with 2 if the case could not run.
 */
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';

import { configurationFor, createClients, createRecord, sleep } from '../stand-ins-3/client.mjs';
import { startEntries } from '../stand-ins-3/entries.mjs';
import { findStandingSteps } from '../stand-ins-3/judge.mjs';
import { startPlatform } from '../stand-ins-3/platform.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const POOL = 'routing';
const EXECUTORS = 8;
const CALM_TRAFFIC_MS = 5000;
const TRAFFIC_MS = 40_000;
const INTERVAL_MS = 200;
const FINISH_MS = 14_000;
const DAY_S = 86_400;

const small = {
  spec: JSON.stringify({ workMs: 100 }),
  steps: [
    { count: 3, cpu: 500, memMb: 64, estMs: 100 },
    { count: 3, cpu: 500, memMb: 64, estMs: 100, after: [0] },
  ],
};
const scheduled = {
  spec: JSON.stringify({ workMs: 20 }),
  steps: [{ count: 6, cpu: 100, memMb: 16, estMs: 20 }],
  ...(HAS_TROUBLE
    ? { repeats: DAY_S, firstMs: Date.now() - DAY_S * 1000, intervalMs: 1000 }
    : { repeats: 6, firstMs: Date.now(), intervalMs: 2000 }),
};

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const platform = await startPlatform({ pools: [POOL], perPool: EXECUTORS, perRack: 4, record });
platform.store.put('op', 'config', configurationFor([POOL]));
const entries = await startEntries({ platform, count: 3, record });

const play = async () => {
  if (!(await entries.waitUntilReady())) {
    record('not-ready', {});
    return 2;
  }
  await sleep(3000);
  const clients = createClients({ platform, entries, record });
  const traffic = [];
  const sendFor = async (ms) => {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs) {
      traffic.push(clients.submit(POOL, small, 'small'));
      await sleep(INTERVAL_MS);
    }
  };
  await sendFor(CALM_TRAFFIC_MS);
  const job = clients.submit(POOL, scheduled, 'scheduled');
  await sendFor(TRAFFIC_MS);
  const scheduledJob = await job;
  await Promise.all(traffic);
  await sleep(FINISH_MS);

  const accepted = clients.jobs.filter((one) => one.accepted && one !== scheduledJob);
  const states = {};
  await Promise.all(
    accepted.slice(-60).map(async (one) => {
      const state = await clients.ask(one, 1);
      states[state] = (states[state] ?? 0) + 1;
    }),
  );
  const standing = findStandingSteps({
    starts: platform.starts,
    ends: platform.ends,
    jobs: accepted,
    stepsOf: (jobId) => (jobId === scheduledJob.jobId ? scheduled.steps : small.steps),
    totalCpu: EXECUTORS * 32_000,
    fromMs: 0,
    untilMs: performance.now(),
  });
  standing.forEach((one) => record('stands-still', one));
  record('summary', {
    scheduledJobAnswered: scheduledJob.statuses,
    accepted: accepted.length,
    statesOfLast60: states,
    standingSteps: standing.length,
    processesThatEndedByThemselves: Object.fromEntries(
      entries.entries.map(({ name, ownEnds }) => [name, ownEnds]),
    ),
  });
  return standing.length > 0 ? 1 : 0;
};

let code = 2;
try {
  code = await play();
} catch (error) {
  record('script-failed', { detail: String(error) });
}
record('result', { trouble: HAS_TROUBLE, exit: code });
await entries.close();
platform.close();
process.exit(code);
