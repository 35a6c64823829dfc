/* eslint-disable */
/** A small deployment: the store, the list of machines, executors, entries, the balancer's choice, and clients. */
import { randomBytes } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import process from 'node:process';

import { createDeployment, findAddressBlock, send, sleep } from './deployment.mjs';
import { createFleet } from './executors.mjs';
import { createStore } from './store.mjs';

const STORE_PORT = 8621;
const CLOUD_PORT = 8620;
const EXECUTOR_PORT = 8080;

export const HOST = 'pule25.example';

const listen = (server, ip, port) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });

/**
 * Starts everything. `routes` are those of the configuration; `needs` maps a task to its needs; `entryCount` processes
 * of the program run, spread over the zones.
 */
export const startWorld = async ({ recordPath, zones, pools, routes, entryCount = 6, viaOf }) => {
  const startedAtMs = performance.now();
  const lines = [];
  const nowS = () => (performance.now() - startedAtMs) / 1000;
  const record = (event, fields = {}) =>
    lines.push(`${nowS().toFixed(3).padStart(8)} ${event} ${JSON.stringify(fields)}`);

  const block = await findAddressBlock([7060, 7075, 8620, 8621, 8622, 8623, 8624, 8080]);
  const store = createStore({ record });
  const jobs = new Map();
  const taskDone = new Map();
  const acknowledged = new Set();
  const starts = [];
  let failedEnds = 0;

  const needsOf = (task) => jobs.get(task.split('.')[0])?.needsOf(task);
  const observer = {
    onStart: ({ id, machine, task, run, spec }) => {
      starts.push({ atS: nowS(), id, machine, task, run, spec });
      record('run-started', { task, run, machine });
    },
    onEnd: ({ id, machine, task, run, how }) => {
      record('run-ended', { task, run, machine, how });
      if (how === 'failed') failedEnds += 1;
      if (how === 'done') {
        if (!taskDone.has(task)) taskDone.set(task, { atS: nowS(), id, run });
      }
    },
    onAcknowledged: ({ id, task, run }) => acknowledged.add(`${id}/${task}/${run}`),
  };
  const fleet = createFleet({
    store,
    pools,
    ipOf: (number) => `${block}.${100 + number}`,
    port: EXECUTOR_PORT,
    needsOf,
    observer,
    record,
  });
  const storeIp = `${block}.90`;
  await listen(store.server, storeIp, STORE_PORT);
  await listen(fleet.cloud, storeIp, CLOUD_PORT);
  await fleet.start();

  store.put('op', 'config', {
    version: 1,
    routes: routes.map((route) => ({
      kind: 'non_idempotent',
      host: HOST,
      timeoutMs: 3000,
      targetLatencyMs: 600,
      priority: 0,
      maxAttempts: 3,
      stretch: 1.6,
      ...route,
    })),
    services: pools.map(({ name, spare = false }) => ({
      name,
      healthPath: '/health',
      maxConns: 64,
      protocol: 'h1',
      tls: false,
      admissionCheck: true,
      spare,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  });

  const deployment = createDeployment({
    storeAddress: `${storeIp}:${STORE_PORT}`,
    cloudAddress: `${storeIp}:${CLOUD_PORT}`,
    record,
  });
  const machinesOfEntries = Array.from({ length: entryCount }, (_, index) => ({
    name: `edge-${zones[index % zones.length]}-${index + 1}`,
    ip: `${block}.${index + 1}`,
    zone: zones[index % zones.length],
    zones,
  }));
  for (const machine of machinesOfEntries) deployment.start(machine);

  /** The balancer asks each entry once a second, and leaves out those that missed twice. */
  const misses = new Map(machinesOfEntries.map(({ name }) => [name, 2]));
  const probe = async ({ name, ip }) => {
    const { status } = await send({
      ip,
      port: 8622,
      method: 'GET',
      path: '/-/readiness',
      deadlineMs: 900,
    });
    misses.set(name, status === 200 ? 0 : misses.get(name) + 1);
  };
  const probeTimer = setInterval(() => machinesOfEntries.forEach((one) => void probe(one)), 1000);
  const readyEntries = () => machinesOfEntries.filter(({ name }) => misses.get(name) < 2);
  let turn = 0;
  const chooseEntry = () => {
    const ready = readyEntries();
    const from = ready.length > 0 ? ready : machinesOfEntries;
    turn += 1;
    return from[turn % from.length];
  };

  const untilReady = async (timeoutMs) => {
    const untilMs = performance.now() + timeoutMs;
    while (readyEntries().length < entryCount) {
      if (performance.now() > untilMs) return false;
      await sleep(100);
    }
    return true;
  };

  /** A client hands a job in; after no answer, a 429, 502, 503 or 504 it tries again with the same id, four times. */
  const submit = async ({ prefix, spec, steps, needsOf: needs, label, ...rest }) => {
    const jobId = randomBytes(8).toString('hex');
    const job = {
      jobId,
      prefix,
      steps,
      needsOf: needs,
      label,
      status: 0,
      sentAtS: nowS(),
      ...rest,
    };
    jobs.set(jobId, job);
    for (let attempt = 1; attempt <= 5; attempt += 1) {
      const entry = chooseEntry();
      const answer = await send({
        ip: entry.ip,
        method: 'POST',
        path: `${prefix}${jobId}`,
        host: HOST,
        body: { spec, steps },
      });
      record('submit', {
        jobId,
        label,
        attempt,
        entry: entry.name,
        status: answer.status,
        reason: answer.body?.reason,
        error: answer.error,
      });
      job.status = answer.status;
      if (answer.status >= 200 && answer.status < 300) {
        job.acceptedAtS = nowS();
        break;
      }
      if (![0, 429, 502, 503, 504].includes(answer.status)) break;
      await sleep(1000 * Number(answer.headers?.['retry-after'] ?? 0.5));
    }
    return job;
  };

  /** Asks for the state of a job, at up to three entries. */
  const ask = async ({ jobId, prefix, label }) => {
    let answer;
    for (let attempt = 1; attempt <= 3; attempt += 1) {
      const entry = chooseEntry();
      answer = await send({ ip: entry.ip, method: 'GET', path: `${prefix}${jobId}`, host: HOST });
      if (answer.status === 200 || answer.status === 410) break;
      await sleep(300);
    }
    record('state', { jobId, label, status: answer.status, state: answer.body?.state });
    return { status: answer.status, state: answer.body?.state };
  };

  return {
    record,
    nowS,
    store,
    fleet,
    deployment,
    jobs,
    taskDone,
    acknowledged,
    starts,
    submit,
    ask,
    untilReady,
    readyEntries,
    machinesOfEntries,
    storeIp,
    block,
    /** Keys of all tasks of a job without times. */
    tasksOf: ({ jobId, steps }) =>
      steps.flatMap(({ count }, step) =>
        Array.from({ length: count }, (_, index) => `${jobId}.0.${step}.${index}`),
      ),
    runningOf: ({ jobId }) =>
      [...fleet.machines.values()].reduce(
        (sum, { executor }) =>
          sum +
          [...(executor?.runs.keys() ?? [])].filter((task) => task.startsWith(`${jobId}.`)).length,
        0,
      ),
    failedEnds: () => failedEnds,
    holder: () => store.read('lease', 'control', 'control')?.holder,
    close: async () => {
      clearInterval(probeTimer);
      if (process.env.ENTRY_LOGS)
        for (const { name, log } of deployment.entries.values())
          writeFileSync(`${process.env.ENTRY_LOGS}/${name}.log`, log);
      await deployment.stopAll();
      fleet.closeAll();
      store.server.closeAllConnections();
      store.server.close();
      fleet.cloud.closeAllConnections();
      fleet.cloud.close();
      writeFileSync(recordPath, `${lines.join('\n')}\n`);
    },
  };
};

export { sleep } from './deployment.mjs';
