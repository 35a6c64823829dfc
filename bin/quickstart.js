#!/usr/bin/env node
/**
 * Runs a small but complete deployment on the loopback address and checks its behaviour: applies an
 * example, serves requests, places jobs, runs a maintenance wave under load and explains decisions.
 */
import { randomUUID } from 'node:crypto';

import { listDeclarations } from '@valvelatch/core';
import { Agent, request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { runCli, startExample, stopProcess } from '@valvelatch/stand-ins';

const WAIT_STEP_MS = 100;
const SENDERS_PER_ENTRY = 6;

const waveSelectors = { 'kutch-hills': 'rack=bhuj-r1', 'be-central': 'rack=gent-r1' };

const { example } = await yargs(hideBin(process.argv))
  .option('example', { choices: ['kutch-hills', 'be-central'], default: 'kutch-hills' })
  .strict()
  .parseAsync();

let deployment;
const failures = [];
const report = [];

const print = (text) => process.stdout.write(`${text}\n`);
const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
const check = (label, holds, detail = '') => {
  report.push(`${holds ? 'held  ' : 'BROKEN'} ${label}${detail === '' ? '' : `: ${detail}`}`);
  if (!holds) failures.push(`${label}: ${detail}`);
};

const waitFor = async (what, ms, test) => {
  const startedMs = performance.now();
  while (performance.now() - startedMs < ms) {
    if (await test()) return Math.round(performance.now() - startedMs);
    await pause(WAIT_STEP_MS);
  }
  throw new Error(`${what} did not come about in ${ms} ms`);
};

const cliFor = ({ entries, operatorKey }) => {
  const environment = {
    VALVELATCH_URL: entries.map(({ fields }) => fields.operatorsUrl).join(','),
    VALVELATCH_KEY: operatorKey,
  };
  const cli = async (...args) => runCli(args, environment);
  const json = async (...args) => {
    const { stdout } = await cli(...args, '--output', 'json');
    return JSON.parse(stdout);
  };
  return { cli, json };
};

/**
 * Sends requests and checks that each answer belongs to its request. Returns a function that stops the
 * load and returns the totals.
 */
const startLoad = (entries, services) => {
  const agent = new Agent({ connections: SENDERS_PER_ENTRY, pipelining: 1 });
  const totals = { answered: 0, wrong: 0, notRun: 0, mayHaveRun: 0, ran: 0, once: 0, times: [] };
  const reasons = {};
  let isRunning = true;
  const sendOne = async (url, index) => {
    const body = randomUUID();
    const isOnce = index % 4 === 0;
    const startedMs = performance.now();
    const answer = await request(`${url}/services/${services[index % services.length]}/plan`, {
      dispatcher: agent,
      method: 'POST',
      headers: isOnce ? { 'idempotency-key': body } : { 'valvelatch-repeatable': 'true' },
      body,
    });
    const text = await answer.body.text();
    totals.times.push(performance.now() - startedMs);
    if (answer.statusCode === 200) {
      totals.answered += 1;
      if (isOnce) totals.once += 1;
      if (text !== body) totals.wrong += 1;
      return;
    }
    const verdict = String(answer.headers['valvelatch-verdict']);
    totals[verdict] = (totals[verdict] ?? 0) + 1;
    const reason = `${answer.headers['valvelatch-reason']}/${verdict}`;
    reasons[reason] = (reasons[reason] ?? 0) + 1;
  };
  const sender = async (url, first) => {
    for (let index = first; isRunning; index += 1) {
      await sendOne(url, index);
      await pause(10);
    }
  };
  const senders = entries.flatMap(({ fields }) =>
    Array.from({ length: SENDERS_PER_ENTRY }, (_, first) => sender(fields.callersUrl, first)),
  );
  return async () => {
    isRunning = false;
    await Promise.all(senders);
    await agent.close();
    totals.times.sort((a, b) => a - b);
    return { ...totals, reasons, p99Ms: totals.times[Math.floor(totals.times.length * 0.99)] ?? 0 };
  };
};

const checkExplain = async ({ cli, json }, entry) => {
  const { value: placements } = await json('get', 'placements');
  const placed = placements.find(({ phase }) => phase === 'running');
  const job = await cli('explain', 'job', placed.jobId);
  check('a placed job is explained by labels and selectors', /selector '\S+' met/.test(job.stdout));
  print(job.stdout.trim());
  const refused = await request(`${entry.fields.callersUrl}/services/no-such-service/x`);
  const refusal = await refused.body.json();
  const why = await cli('explain', 'request', refusal.requestId);
  check(
    'a refused request is explained',
    refusal.verdict === 'notRun' && why.code === 0 && /no service named/.test(why.stdout),
  );
  print(why.stdout.trim());
};

const runAll = async () => {
  const startedMs = performance.now();
  print(`starting ${example} on the loopback address`);
  deployment = await startExample(example);
  const { configuration, entries, workersUrls } = deployment;
  const { cli, json } = cliFor(deployment);
  report.push(`figure processes: ${deployment.processes.length}`);

  const applied = await json('apply', '-f', deployment.declarationsFolder, '--wait-ms', '8000');
  check(
    'the configuration is in force on every entry',
    applied.kind === 'ok' && applied.value.unreachable.length === 0,
    JSON.stringify(applied.value?.inForce ?? applied.detail),
  );

  const services = listDeclarations(configuration, 'Service');
  const wanted = services.reduce((sum, { spec }) => sum + spec.executors, 0);
  const countRunning = async () => {
    const { value } = await json('get', 'placements');
    return value.filter(({ phase, service }) => phase === 'running' && service !== null).length;
  };
  const placedMs = await waitFor(
    'all executors running',
    20_000,
    async () => (await countRunning()) === wanted,
  );
  check('every executor is placed and running', true, `${wanted} in ${placedMs} ms`);
  await waitFor('entries with seats and endpoints', 10_000, async () => {
    const { value } = await json('status');
    return value.entries.every(
      ({ seat, endpoints }) => seat !== null && Object.values(endpoints).some((count) => count > 0),
    );
  });

  const stopLoad = startLoad(
    entries,
    services.map(({ name }) => name),
  );
  const submitted = await json('job', 'submit', '-f', deployment.jobsFolder);
  check('jobs are accepted', submitted.kind === 'ok', submitted.detail ?? '');

  const wave = await json('wave', 'start', 'winter-1', '--selector', waveSelectors[example]);
  check('the wave is accepted', wave.kind === 'ok', wave.detail ?? '');
  const waveMs = await waitFor('the wave', 35_000, async () => {
    const { value } = await json('get', 'waves');
    return value.every(({ phase }) => phase === 'done');
  });
  check('the wave is done', true, `${wave.value.hosts.length} hosts in ${waveMs} ms under load`);

  const jobsMs = await waitFor('the jobs', 20_000, async () => {
    const { value } = await json('get', 'jobs');
    return value.every(({ phase }) => phase !== 'pending');
  });
  const { value: jobs } = await json('get', 'jobs');
  const refused = jobs.filter(({ phase }) => phase === 'refused');
  check(
    'jobs that fit are done, the one that never can is refused',
    refused.length === 1 && jobs.filter(({ phase }) => phase === 'done').length === jobs.length - 1,
    `${jobsMs} ms more; refused: ${refused[0]?.reason}`,
  );

  await checkExplain({ cli, json }, entries[0]);
  const load = await stopLoad();
  report.push(
    `figure requests: ${load.answered} answered, ${load.notRun} notRun, ${load.mayHaveRun} mayHaveRun, ` +
      `${load.ran} ran with an error, p99 ${load.p99Ms.toFixed(1)} ms ${JSON.stringify(load.reasons)}`,
  );
  check(
    'every caller got its own whole answer',
    load.wrong === 0 && load.answered > 0,
    `${load.answered}`,
  );
  check('no request was cut by the wave', load.mayHaveRun + load.ran === 0);

  const reports = await Promise.all(
    Object.values(workersUrls).map(async (url) =>
      (await request(`${url}/stand-in/report`)).body.json(),
    ),
  );
  const executions = new Map();
  reports
    .flatMap((one) => Object.entries(one.executions))
    .forEach(([key, count]) => executions.set(key, (executions.get(key) ?? 0) + count));
  const repeated = Array.from(executions.values()).filter((count) => count > 1).length;
  check('each request that is not repeatable ran once', repeated === 0, `${load.once} of them`);
  const sum = (field) => reports.reduce((total, one) => total + one[field], 0);
  check('slots were never overshot', sum('overSlots') === 0, `${sum('overSlots')} times`);
  check('no planned stop cut a request', sum('cutRequests') === 0, `${sum('cutRequests')}`);
  check('no job was started twice', sum('doubleStarts') === 0);

  const codes = await Promise.all(entries.map(stopProcess));
  check(
    'entries stopped as planned',
    codes.every((code) => code === 0),
    codes.join(' '),
  );
  report.push(`figure whole run: ${((performance.now() - startedMs) / 1000).toFixed(1)} s`);
};

try {
  await runAll();
} catch (error) {
  failures.push(error.message);
  deployment?.processes.forEach(({ name, recent }) =>
    print(`--- ${name}\n${recent.slice(-12).join('\n')}`),
  );
} finally {
  await deployment?.stop();
}
print('');
report.forEach(print);
if (failures.length > 0) {
  failures.forEach((one) => process.stderr.write(`quickstart: ${one}\n`));
  process.exit(1);
}
