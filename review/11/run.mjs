/**
 * Large jobs of 20,000 tasks come on one queue, 2.6 times as often as usual for 4 s and then as often as usual. With
 * TROUBLE=0 the same jobs have 32 tasks. What is judged are small jobs on another queue, whose executors have room.
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
const POOL = 'convoy';
const POOL_OF_LARGE = 'routing';
const EXECUTORS = 8;
const CALM_TRAFFIC_MS = 5000;
const TRAFFIC_MS = 30_000;
const INTERVAL_MS = 200;
const FINISH_MS = 14_000;

const small = {
  spec: JSON.stringify({ workMs: 100 }),
  steps: [
    { count: 3, cpu: 500, memMb: 64, estMs: 100 },
    { count: 3, cpu: 500, memMb: 64, estMs: 100, after: [0] },
  ],
};
const large = {
  spec: JSON.stringify({ workMs: 500 }),
  steps: [{ count: HAS_TROUBLE ? 20_000 : 32, cpu: 2000, memMb: 256, estMs: 500 }],
};
/** How often roster-plan comes, a second, and how much more often in a burst of 4 s. */
const LARGE_PER_S = 1.11;
const BURST = 2.6;
const BURST_MS = 4000;
const USUAL_MS = 25_000;

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const platform = await startPlatform({
  pools: [POOL, POOL_OF_LARGE],
  perPool: EXECUTORS,
  perRack: 4,
  record,
});
platform.store.put('op', 'config', configurationFor([POOL, POOL_OF_LARGE]));
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
  const largeJobs = [];
  const sendLargeFor = async (ms, perS) => {
    const untilMs = performance.now() + ms;
    while (performance.now() < untilMs) {
      largeJobs.push(clients.submit(POOL_OF_LARGE, large, 'large'));
      await sleep(1000 / perS);
    }
  };
  const sending = sendLargeFor(BURST_MS, LARGE_PER_S * BURST).then(() =>
    sendLargeFor(USUAL_MS, LARGE_PER_S),
  );
  await sendFor(TRAFFIC_MS);
  await sending;
  await Promise.all(largeJobs);
  await Promise.all(traffic);
  await sleep(FINISH_MS);

  const accepted = clients.jobs.filter((one) => one.accepted && one.label === 'small');
  const states = {};
  await Promise.all(
    accepted.slice(-60).map(async (one) => {
      const state = await clients.ask(one, 1);
      states[state] = (states[state] ?? 0) + 1;
    }),
  );
  const smallIds = new Set(accepted.map(({ jobId }) => jobId));
  const isOfSmall = ({ task }) => smallIds.has(task.split('.')[0]);
  const standing = findStandingSteps({
    starts: platform.starts.filter(isOfSmall),
    ends: platform.ends.filter(isOfSmall),
    jobs: accepted,
    stepsOf: () => small.steps,
    totalCpu: EXECUTORS * 32_000,
    fromMs: 0,
    untilMs: performance.now(),
  });
  standing.forEach((one) => record('stands-still', one));
  record('summary', {
    largeJobsAccepted: clients.jobs.filter((one) => one.accepted && one.label === 'large').length,
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
