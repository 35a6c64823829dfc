/* eslint-disable */
/**
 * One job with one long task. The executor that runs it crashes four times in the course of a minute, each time
 * another one of eight, and comes back 4.5 s later. No run ever ends `failed`. The job has to be run to its end.
 */
import path from 'node:path';
import process from 'node:process';

import { sleep, startWorld } from '../stand-ins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const CAPACITY = { cpu: 32000, memMb: 131072, gpu: 0 };
const ZONES = ['hall-bhuj', 'hall-anjar', 'hall-rapar', 'hall-mandvi'];
const TASK_MS = 25_000;
const CRASHES = 4;
const CRASH_FOR_MS = 4500;
/** An executor that runs the task crashes once it has run it for so long. */
const RUNS_FOR_MS = 6000;

const world = await startWorld({
  recordPath: path.join(import.meta.dirname, 'record.txt'),
  zones: ZONES,
  pools: [
    { name: 'routing', count: 8, capacity: CAPACITY, zones: ZONES },
    { name: 'convoy', count: 8, capacity: CAPACITY, zones: ZONES },
  ],
  routes: [{ name: 'r-long', pathPrefix: '/routing/', service: 'routing' }],
});
const { record, nowS, fleet } = world;

const finish = async (code, verdict) => {
  record('verdict', { code, verdict });
  console.log(verdict);
  await world.close();
  process.exit(code);
};

const unusable = (why) => finish(2, `the case couldn't run: ${why}`);
setTimeout(() => void unusable('it took too long'), 115_000).unref();

if (!(await world.untilReady(20_000))) await unusable('the entries are not ready');

const job = await world.submit({
  label: 'long',
  prefix: '/routing/',
  spec: 'long',
  steps: [{ count: 1, cpu: 2000, memMb: 1000, estMs: TASK_MS }],
  needsOf: () => ({ cpu: 2000, memMb: 1000, runMs: TASK_MS }),
});
if (job.status !== 200) await unusable(`the job got ${job.status}`);

const machineOfTask = () =>
  [...fleet.machines.values()].find(({ executor }) =>
    [...(executor?.runs.keys() ?? [])].some((task) => task.startsWith(`${job.jobId}.`)),
  );

let states = [];
const watch = async () => {
  const { state } = await world.ask(job);
  if (states.at(-1) !== state) states = [...states, state];
  return state;
};

let crashes = 0;
const endAtS = nowS() + 100;
while (nowS() < endAtS) {
  const state = await watch();
  if (state === 'completed' || state === 'failed') break;
  const machine = machineOfTask();
  const run =
    machine && [...machine.executor.runs.values()].find(({ task }) => task.startsWith(job.jobId));
  if (TROUBLE && run && crashes < CRASHES && performance.now() - run.startedAtMs > RUNS_FOR_MS) {
    crashes += 1;
    fleet.crash(machine, CRASH_FOR_MS);
    record('executor-crashes', { machine: machine.name, number: crashes, forMs: CRASH_FOR_MS });
  }
  await sleep(500);
}
await sleep(3000);
const state = await watch();
const startsOfJob = world.starts.filter(({ task }) => task.startsWith(job.jobId)).length;
const failedEnds = world.failedEnds();
const facts = `${startsOfJob} starts, ${crashes} crashes of the executor that ran the task, ${failedEnds} ends 'failed'; states shown: ${states.join(', ')}`;
const isBroken = state === 'failed' && failedEnds === 0;
if (!isBroken && state !== 'completed') await unusable(`the job ends as ${state}; ${facts}`);
await finish(isBroken ? 1 : 0, `${isBroken ? 'LOST is broken' : 'LOST held'}: ${facts}`);
