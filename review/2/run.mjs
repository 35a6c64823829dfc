/* eslint-disable */
/**
 * A pool is full, and twelve jobs wait in its queue. One executor, on which no task of these jobs ever ran, is lost for
 * good, and then the process that holds control is killed eight times, 5 s apart. No task of the waiting jobs has been
 * started by then. None of them may be shown as `failed`, and each has to be run once there is room.
 */
import path from 'node:path';
import process from 'node:process';

import { sleep, startWorld } from '../stand-ins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const CAPACITY = { cpu: 32000, memMb: 131072, gpu: 0 };
const ZONES = ['hall-bhuj', 'hall-anjar', 'hall-rapar', 'hall-mandvi'];
const WAITING_JOBS = 12;
const KILLS = 8;
const KILL_GAP_MS = 5000;
const RESTART_MS = 500;
const FILLING_MS = 60_000;

const world = await startWorld({
  recordPath: path.join(import.meta.dirname, 'record.txt'),
  zones: ZONES,
  pools: [{ name: 'convoy', count: 8, capacity: CAPACITY, zones: ZONES }],
  routes: [{ name: 'r-convoy', pathPrefix: '/convoy/', service: 'convoy' }],
});
const { record, nowS, fleet, deployment } = world;

const finish = async (code, verdict) => {
  record('verdict', { code, verdict });
  console.log(verdict);
  await world.close();
  process.exit(code);
};
const unusable = (why) => finish(2, `the case couldn't run: ${why}`);
setTimeout(() => void unusable('it took too long'), 115_000).unref();

if (!(await world.untilReady(20_000))) await unusable('the entries are not ready');

const submit = (label, cpu, runMs) =>
  world.submit({
    label,
    prefix: '/convoy/',
    spec: label,
    steps: [{ count: 1, cpu, memMb: 1000, estMs: runMs }],
    needsOf: () => ({ cpu, memMb: 1000, runMs }),
  });

// Each of these takes a whole executor, so that the jobs after them wait.
const fullFromS = nowS();
const filling = await Promise.all(
  Array.from({ length: 8 }, () => submit('filling', 30_000, FILLING_MS)),
);
await sleep(1500);
const waiting = await Promise.all(
  Array.from({ length: WAITING_JOBS }, () => submit('waiting', 8000, 1000)),
);
if ([...filling, ...waiting].some(({ status }) => status !== 200))
  await unusable('a job was not accepted');
await sleep(1500);

if (TROUBLE) {
  const machine = [...fleet.machines.values()].find(
    ({ executor }) => executor && executor.runs.size > 0,
  );
  fleet.crash(machine, undefined);
  record('executor-lost', { machine: machine.name });
  await sleep(2500);
  for (let number = 1; number <= KILLS; number += 1) {
    const name = world.holder();
    const entry = deployment.entries.get(name);
    if (!entry || entry.isEnded) await unusable(`${name} holds control and doesn't run`);
    record('node-kill', { entry: name, number });
    entry.child.kill('SIGKILL');
    await entry.ended;
    await sleep(RESTART_MS);
    deployment.start(
      world.machinesOfEntries.find((one) => one.name === name),
      false,
    );
    await sleep(KILL_GAP_MS - RESTART_MS);
  }
}

/** The jobs of which no executor has been told to start a task. */
const neverStarted = () => {
  const begun = new Set(world.starts.map(({ task }) => task.split('.')[0]));
  return waiting.filter(({ jobId }) => !begun.has(jobId));
};
const failedUnstarted = new Set();
const watch = async () => {
  const unstarted = neverStarted();
  for (const job of unstarted) {
    const { state } = await world.ask(job);
    if (state === 'failed') failedUnstarted.add(job.jobId);
  }
  return unstarted.length;
};
const unstartedThen = await watch();
// The filling jobs end, and there is room for all that waits.
const endAtS = fullFromS + FILLING_MS / 1000 + 20;
const isOpen = () =>
  waiting.some(({ jobId }) => !failedUnstarted.has(jobId) && !world.taskDone.has(`${jobId}.0.0.0`));
while (nowS() < endAtS && isOpen()) await sleep(500);
await sleep(5000);
await watch();
const states = {};
for (const job of waiting) {
  const { state } = await world.ask(job);
  states[state] = (states[state] ?? 0) + 1;
}
const facts =
  `${unstartedThen} jobs had no start when they were first asked for; ${failedUnstarted.size} jobs are shown as failed without a ` +
  `single start, ${world.failedEnds()} runs ended 'failed'; at the end: ${JSON.stringify(states)}`;
const isBroken = failedUnstarted.size > 0 && world.failedEnds() === 0;
if (!isBroken && states.completed !== WAITING_JOBS) await unusable(facts);
await finish(isBroken ? 1 : 0, `${isBroken ? 'LOST is broken' : 'LOST held'}: ${facts}`);
