/* eslint-disable */
/**
 * A pool is full, and thirty jobs wait in its queue. One executor is lost for good, and then the entries are stopped
 * and started in turn, as for a release, the one that holds control first. Clients ask each entry how many jobs wait.
 */
import path from 'node:path';
import process from 'node:process';

import { send, sleep } from '../stand-ins/deployment.mjs';
import { HOST, startWorld } from '../stand-ins/world.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const CAPACITY = { cpu: 32000, memMb: 131072, gpu: 0 };
const ZONES = ['hall-bhuj', 'hall-anjar', 'hall-rapar', 'hall-mandvi'];
const WAITING_JOBS = 30;
const GRACE_MS = 6000;
const GAP_MS = 2000;
const CONTACT_S = 3;
/** MIXED: jobs that were accepted `visible_ms` and 2 s before. */
const VISIBLE_S = 3 + 2;

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
const filling = await Promise.all(
  Array.from({ length: 8 }, () => submit('filling', 30_000, 90_000)),
);
await sleep(1500);
const waiting = await Promise.all(
  Array.from({ length: WAITING_JOBS }, () => submit('waiting', 8000, 2000)),
);
if ([...filling, ...waiting].some(({ status }) => status !== 200))
  await unusable('a job was not accepted');
await sleep(2000);

/** The accepted jobs that have waited for long enough and haven't begun, as the executors saw it. */
const countWaiting = () => {
  const begun = new Set(world.starts.map(({ task }) => task.split('.')[0]));
  return [...world.jobs.values()].filter(
    ({ jobId, acceptedAtS }) => acceptedAtS < nowS() - VISIBLE_S && !begun.has(jobId),
  ).length;
};

let calmFromS = nowS();
if (TROUBLE) {
  const machine = [...fleet.machines.values()].find(
    ({ pool, executor }) => pool === 'convoy' && executor && executor.runs.size > 0,
  );
  fleet.crash(machine, undefined);
  record('executor-lost', { machine: machine.name });
  await sleep(3000);
  const order = [...world.machinesOfEntries];
  while (order.length > 0) {
    const holder = world.holder();
    const index = Math.max(
      0,
      order.findIndex(({ name }) => name === holder),
    );
    const [one] = order.splice(index, 1);
    const entry = deployment.entries.get(one.name);
    record('roll-term', { entry: one.name, holder });
    entry.child.kill('SIGTERM');
    const killer = setTimeout(() => entry.child.kill('SIGKILL'), GRACE_MS);
    await entry.ended;
    clearTimeout(killer);
    deployment.start(one, false);
    await sleep(GAP_MS);
  }
  calmFromS = nowS() + CONTACT_S;
}

let wrong = 0;
let asked = 0;
let worst = { said: Infinity, are: 0 };
const endAtS = calmFromS + 8;
while (nowS() < endAtS) {
  await sleep(500);
  if (nowS() < calmFromS) continue;
  for (const { name, ip } of world.machinesOfEntries) {
    const before = countWaiting();
    const answer = await send({ ip, method: 'GET', path: '/convoy/', host: HOST });
    const are = Math.min(before, countWaiting());
    const said = answer.body?.waiting;
    record('waiting', { entry: name, status: answer.status, said, are });
    if (answer.status !== 200) continue;
    asked += 1;
    if (said * 2 < are) wrong += 1;
    if (said < worst.said) worst = { said, are };
  }
}
const facts = `${asked} answers, of which ${wrong} gave under half; the lowest said that ${worst.said} jobs wait when ${worst.are} had waited for ${VISIBLE_S} s or more`;
if (asked === 0) await unusable('no entry gave a count');
await finish(wrong > 0 ? 1 : 0, `${wrong > 0 ? 'MIXED is broken' : 'MIXED held'}: ${facts}`);
