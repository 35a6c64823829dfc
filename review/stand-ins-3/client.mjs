/* eslint-disable */
/** Clients that hand jobs in as the pages say, and what they were answered. */
import { randomBytes } from 'node:crypto';
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';

import { call } from './entries.mjs';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Writes each event as a line with the time since the beginning, in seconds. */
export const createRecord = (file) => {
  writeFileSync(file, '');
  const beganMs = performance.now();
  let lines = [];
  const flush = () => {
    appendFileSync(file, lines.join(''));
    lines = [];
  };
  process.on('exit', flush);
  return (event, fields = {}) => {
    const atS = ((performance.now() - beganMs) / 1000).toFixed(3);
    lines.push(`${atS} ${event} ${JSON.stringify(fields)}\n`);
    if (lines.length >= 500) flush();
  };
};

export const newJobId = () => randomBytes(8).toString('hex');

export const HOST_NAME = 'jobs.example';

/** A configuration with one queue for each pool, as the operator writes it. */
export const configurationFor = (pools, advice) => ({
  version: 1,
  routes: pools.map((pool) => ({
    name: `r-${pool}`,
    host: HOST_NAME,
    pathPrefix: `/${pool}/`,
    kind: 'non_idempotent',
    timeoutMs: 3000,
    targetLatencyMs: 600,
    priority: 0,
    service: pool,
    maxAttempts: 3,
    stretch: 1.6,
    ...(advice === undefined ? {} : { advice }),
  })),
  services: pools.map((name) => ({
    name,
    healthPath: '/health',
    maxConns: 64,
    protocol: 'h1',
    tls: false,
    admissionCheck: true,
    spare: false,
  })),
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 262144,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
});

/** Hands jobs in. A client tries five times, each time at another entry that is ready. */
export const createClients = ({ platform, entries, record }) => {
  const jobs = [];
  let turn = 0;

  const chooseEntry = async () => {
    const ready = [];
    for (const entry of entries.entries) if (await entries.isReady(entry)) ready.push(entry);
    const pool = ready.length > 0 ? ready : entries.entries;
    turn += 1;
    return pool[turn % pool.length];
  };

  const submit = async (pool, body, label = 'job') => {
    const jobId = newJobId();
    const job = { jobId, pool, label, accepted: false, statuses: [], sentAtMs: performance.now() };
    jobs.push(job);
    platform.declareJob(jobId, body.steps);
    for (let attempt = 1; attempt <= 5 && !job.accepted; attempt += 1) {
      const entry = await chooseEntry();
      record('client-sends', { label, job: jobId, to: entry.name, attempt });
      const { status, body: answered } = await call(entry.front, 'POST', `/${pool}/${jobId}`, {
        host: HOST_NAME,
        body,
      });
      record('client-gets', {
        label,
        job: jobId,
        from: entry.name,
        status,
        reason: answered.reason,
      });
      job.statuses.push(status);
      if (status >= 200 && status < 300) {
        job.accepted = true;
        job.acceptedAtMs = performance.now();
      } else if (status === 400 || status === 404) break;
      else await sleep(300);
    }
    return job;
  };

  /** Asks for the state of a job, at most so often. */
  const ask = async ({ jobId, pool }, attempts = 4) => {
    for (let attempt = 1; attempt <= attempts; attempt += 1) {
      const entry = await chooseEntry();
      const { status, body } = await call(entry.front, 'GET', `/${pool}/${jobId}`, {
        host: HOST_NAME,
      });
      record('client-asks', { job: jobId, at: entry.name, status, state: body.state });
      if (status === 200) return body.state;
      if (status === 410) return 'unknown';
    }
    return 'no answer';
  };

  return { jobs, submit, ask };
};
