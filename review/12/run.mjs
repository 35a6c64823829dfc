/* eslint-disable */
/**
 * Six jobs of a queue with advice come at once. With TROUBLE=0 they come one each 6 s.
 * Exits with 1 if the rule LOST was broken, with 0 if it held, with 2 if the case could not run.
 */
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';

import { startAdvice } from '../stand-ins-3/advice.mjs';
import { configurationFor, createClients, createRecord, sleep } from '../stand-ins-3/client.mjs';
import { startEntries } from '../stand-ins-3/entries.mjs';
import { findStandingSteps } from '../stand-ins-3/judge.mjs';
import { startPlatform } from '../stand-ins-3/platform.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const POOL = 'routing';
const EXECUTORS = 8;
const JOBS = 6;
const BURST_MS = 4000;
const APART_MS = 6000;
const ADVICE = { decideMs: 2000, eachMs: 20, validMs: 20_000 };
/** More than a question of 30 executors for each of the jobs, one after the other. */
const ALL_ADVICE_MS = JOBS * (ADVICE.decideMs + 30 * ADVICE.eachMs);
const WATCH_MS = 60_000;

const job = {
  spec: JSON.stringify({ workMs: 100 }),
  steps: [{ count: 6, cpu: 1800, memMb: 64, estMs: 100 }],
};

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const advice = await startAdvice({ ...ADVICE, record });
const platform = await startPlatform({
  pools: [POOL],
  perPool: EXECUTORS,
  perRack: 4,
  record,
  mayStart: advice.mayStart,
});
platform.store.put('op', 'config', configurationFor([POOL], ADVICE));
const entries = await startEntries({ platform, count: 3, record, adviceAddress: advice.address });

const play = async () => {
  if (!(await entries.waitUntilReady())) {
    record('not-ready', {});
    return 2;
  }
  await sleep(3000);
  const clients = createClients({ platform, entries, record });
  const traffic = [];
  for (let number = 0; number < JOBS; number += 1) {
    traffic.push(clients.submit(POOL, job, 'job'));
    await sleep(HAS_TROUBLE ? BURST_MS / JOBS : APART_MS);
  }
  await Promise.all(traffic);
  await sleep(WATCH_MS);
  const accepted = clients.jobs.filter((one) => one.accepted);
  const states = {};
  for (const one of accepted) {
    const state = await clients.ask(one, 2);
    states[state] = (states[state] ?? 0) + 1;
  }
  const sentLastMs = Math.max(...clients.jobs.map(({ sentAtMs }) => sentAtMs));
  const standing = findStandingSteps({
    starts: platform.starts,
    ends: platform.ends,
    jobs: accepted,
    stepsOf: () => job.steps,
    totalCpu: EXECUTORS * 32_000,
    fromMs: sentLastMs + ALL_ADVICE_MS,
    untilMs: performance.now(),
  });
  standing.forEach((one) => record('stands-still', one));
  record('summary', { accepted: accepted.length, states, standingSteps: standing.length });
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
advice.close();
process.exit(code);
