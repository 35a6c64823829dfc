/** Jobs that clients submit, repeat and cancel through any entries, beside faults: an acknowledged cancellation is kept. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { CONTROL_METHOD } from '../control/holder-client.js';
import { sleep } from '../testing/sim-platform.fixtures.js';
import type { SimEntry, SimFleet, SimJob } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createRandom,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
} from '../testing/virtual-time.fixtures.js';
import type { IntakeAnswer } from './intake.js';

const SEED_COUNT = Number(process.env.VALVELATCH_FUZZ_RUNS ?? 20);
const SEEDS = Array.from({ length: SEED_COUNT }, (_, index) => index + 1);

/** The last task of a job may start this long after its cancellation was acknowledged, in calm conditions. */
const CANCEL_MS = 3000;
/** A start is exempt if a fault was in force within this time before it. */
const CONTACT_MS = 3000;
/** A client gives an attempt up after this time, and tries at another entry. */
const CLIENT_TIMEOUT_MS = 3500;
const CLIENT_COUNT = 12;
/** Clients submit their jobs within this time. */
const SUBMIT_WINDOW_MS = 9000;
/** Faults begin within this time. */
const FAULT_WINDOW_MS = 12_000;
const MAX_FAULTS = 4;
/** Jobs that each fill the pool for some seconds. */
const FILLER_COUNT = 3;
/** By then all faults are over and all accepted jobs have completed. */
const END_MS = 60_000;
const RESTART_MS = 700;
/** How often a client with a paused entry looks whether the entry goes on. */
const PAUSE_CHECK_MS = 20;

type Random = () => number;

/** A time in which the conditions were not calm; `untilMs` is Infinity while it lasts. */
type FaultPeriod = { readonly kind: string; readonly fromMs: number; untilMs: number };

/** What a client knows of its job. */
type ClientJob = {
  readonly jobId: JobId;
  readonly trace: string[];
  isAccepted: boolean;
  isCancelSent: boolean;
  /** When the cancellation was first acknowledged; Infinity before. */
  cancelledAtMs: number;
};

const between = (random: Random, minMs: number, maxMs: number): number =>
  minMs + random() * (maxMs - minMs);

const pick = <Value>(random: Random, values: readonly Value[]): Value | undefined =>
  values[Math.floor(random() * values.length)];

/** Delivers a request to an entry and its answer to the client; undefined if there is none in time. */
const call = async (
  entry: SimEntry,
  request: (entry: SimEntry) => Promise<IntakeAnswer>,
): Promise<IntakeAnswer | undefined> => {
  const waitWhilePaused = async (): Promise<void> => {
    while (entry.isFrozen) await sleep(PAUSE_CHECK_MS);
  };
  const answered = async (): Promise<IntakeAnswer | undefined> => {
    await waitWhilePaused();
    if (entry.isDead) return undefined;
    const answer = await request(entry);
    await waitWhilePaused();
    return entry.isDead ? undefined : answer;
  };
  return Promise.race([answered(), sleep(CLIENT_TIMEOUT_MS).then(() => undefined)]);
};

const describeAnswer = (answer: IntakeAnswer | undefined): string =>
  answer?.kind === 'refused' ? `${answer.status} ${answer.reason}` : (answer?.kind ?? 'no answer');

const isAcknowledgement = (answer: IntakeAnswer | undefined): boolean =>
  answer?.kind === 'cancelled' || (answer?.kind === 'refused' && answer.status === 410);

/** Sends a request through random entries until an answer ends it. */
const sendUntil = async (
  { fleet, random }: Scenario,
  job: ClientJob,
  name: string,
  request: (entry: SimEntry) => Promise<IntakeAnswer>,
  isLast: (answer: IntakeAnswer | undefined) => boolean,
): Promise<void> => {
  const entry = pick(random, fleet.entries);
  const sentAtMs = Math.round(performance.now());
  const answer = entry && (await call(entry, request));
  const isHolder = entry?.control.term() !== undefined ? ' (holder)' : '';
  job.trace.push(
    `${sentAtMs}..${Math.round(performance.now())} ${name} at ${entry?.entryId}${isHolder}: ${describeAnswer(answer)}`,
  );
  if (isLast(answer)) return;
  await sleep(between(random, 100, 900));
  await sendUntil({ fleet, random }, job, name, request, isLast);
};

type Scenario = { readonly fleet: SimFleet; readonly random: Random };

const submit = (scenario: Scenario, job: ClientJob, { job: sent, queue }: SimJob): Promise<void> =>
  sendUntil(
    scenario,
    job,
    'submit',
    (entry) => entry.intake.submit(queue, { ...sent, acceptedAtMs: Date.now() }),
    (answer) => {
      const isAccepted = answer?.kind === 'accepted';
      if (isAccepted) Object.assign(job, { isAccepted });
      const isGivenUp = job.cancelledAtMs < Infinity;
      return isAccepted || isGivenUp;
    },
  );

const cancel = (scenario: Scenario, job: ClientJob): Promise<void> => {
  Object.assign(job, { isCancelSent: true });
  return sendUntil(
    scenario,
    job,
    'cancel',
    (entry) => entry.intake.cancel(job.jobId, null),
    (answer) => {
      if (!isAcknowledgement(answer)) return false;
      Object.assign(job, { cancelledAtMs: performance.now() });
      return true;
    },
  );
};

/** Submits a job, some of them again after the answer, cancels most of them, and submits some again after that. */
const runClient = async (scenario: Scenario, job: ClientJob, prepared: SimJob): Promise<void> => {
  const { random } = scenario;
  const isCancelled = random() < 0.7;
  const isRepeated = random() < 0.4;
  const isSubmittedAfterCancel = random() < 0.4;
  const cancelAfterMs = between(random, 0, random() < 0.5 ? 600 : 5000);
  await sleep(between(random, 0, SUBMIT_WINDOW_MS));
  const submitted = submit(scenario, job, prepared).then(async () => {
    if (!isRepeated) return;
    await sleep(between(random, 200, 6000));
    await submit(scenario, job, prepared);
  });
  if (!isCancelled) return submitted;
  await sleep(cancelAfterMs);
  await cancel(scenario, job);
  if (!isSubmittedAfterCancel) return submitted;
  await sleep(between(random, 0, 6000));
  return submit(scenario, job, prepared);
};

const MESH_CALLS = [
  CONTROL_METHOD.cancelled,
  CONTROL_METHOD.taken,
  CONTROL_METHOD.phase,
  CONTROL_METHOD.accept,
];

/** Sets a field, and returns what resets it. */
const setFor = <Fields extends object, Key extends keyof Fields>(
  target: Fields | undefined,
  key: Key,
  value: Fields[Key],
  calmValue: Fields[Key],
) => {
  const set = (one: Fields[Key]): unknown => target && Object.assign(target, { [key]: one });
  set(value);
  return () => set(calmValue);
};

/** The faults by kind: each begins one, and returns what ends it. */
const FAULTS: Readonly<Record<string, (scenario: Scenario) => () => unknown>> = {
  tableAway: ({ fleet }) => setFor(fleet.faults, 'isTableDown', true, false),
  writesLost: ({ fleet, random }) =>
    setFor(fleet.faults, 'lostWrites', between(random, 0.1, 0.4), 0),
  ordersLate: ({ fleet, random }) =>
    setFor(fleet.faults, 'lateOrders', between(random, 0.1, 0.5), 0),
  entryCutFromTable: ({ fleet, random }) =>
    setFor(pick(random, fleet.entries), 'isCutFromTable', true, false),
  entrySilent: ({ fleet, random }) => setFor(pick(random, fleet.entries), 'isSilent', true, false),
  holderSilent: ({ fleet }) => setFor(fleet.findHolder(), 'isSilent', true, false),
  holderFrozen: ({ fleet }) => setFor(fleet.findHolder(), 'isFrozen', true, false),
  callsLost: ({ fleet, random }) => {
    const method = pick(random, MESH_CALLS) ?? CONTROL_METHOD.cancelled;
    fleet.faults.lostMeshCalls.add(method);
    return () => fleet.faults.lostMeshCalls.delete(method);
  },
  holderKilled: ({ fleet }) => {
    const holder = fleet.findHolder();
    if (!holder) return () => undefined;
    fleet.kill(holder);
    return () => fleet.addEntry(holder.entryId);
  },
};

/** Plays one fault; those of one kind do not overlap, as the first end would end both. */
const playFault = async (scenario: Scenario, periods: FaultPeriod[]): Promise<void> => {
  const { random } = scenario;
  const kind = pick(random, Object.keys(FAULTS)) ?? 'tableAway';
  const forMs = kind === 'holderKilled' ? RESTART_MS : between(random, 500, 4000);
  await sleep(between(random, 0, FAULT_WINDOW_MS));
  if (periods.some((one) => one.kind === kind && one.untilMs === Infinity)) return;
  const period: FaultPeriod = { kind, fromMs: performance.now(), untilMs: Infinity };
  periods.push(period);
  const end = FAULTS[kind]?.(scenario);
  await sleep(forMs);
  end?.();
  period.untilMs = performance.now();
};

const isCalmAt = (periods: readonly FaultPeriod[], atMs: number): boolean =>
  periods.every(({ fromMs, untilMs }) => atMs < fromMs || atMs > untilMs + CONTACT_MS);

/** Fills the pool at random times, so that jobs wait. */
const fillPool = async ({ fleet, random }: Scenario): Promise<void> => {
  await sleep(between(random, 0, SUBMIT_WINDOW_MS));
  const steps = [{ taskCount: 3, cpuMillis: 8000, mostPerEndpoint: 1 }];
  fleet.submit({ pool: 'alpha', steps, runMs: between(random, 1000, 5000) });
};

const prepareJob = ({ fleet, random }: Scenario): SimJob =>
  fleet.prepareJob({
    pool: 'alpha',
    steps: [
      { taskCount: 1 + Math.floor(random() * 4), cpuMillis: 1000 + Math.floor(random() * 7000) },
      ...(random() < 0.3 ? [{ taskCount: 1, after: [0] }] : []),
    ],
    runMs: between(random, 50, 1500),
  });

const findProblems = (
  fleet: SimFleet,
  job: ClientJob,
  periods: readonly FaultPeriod[],
): readonly string[] => {
  const { jobId, cancelledAtMs, isAccepted, isCancelSent } = job;
  const phase = phaseOf(fleet, jobId);
  const late = fleet.startsSent.filter(
    ({ task, atMs }) => task.startsWith(jobId) && atMs > cancelledAtMs + CANCEL_MS,
  );
  const problems = late
    .filter(({ atMs }) => isCalmAt(periods, atMs))
    .map(
      ({ task, run, atMs }) =>
        `${task} run ${run}: ordered ${Math.round(atMs - cancelledAtMs)} ms after the acknowledgement`,
    );
  if (late.length > 0 && phase === 'completed')
    problems.push(`${jobId}: completed by a run that began after its cancellation`);
  if (isAccepted && !isCancelSent && phase !== 'completed')
    problems.push(`${jobId}: accepted and not cancelled, but ${phase}`);
  return problems.length > 0 ? [...problems, ...job.trace.map((line) => `  ${line}`)] : [];
};

const describePeriod = ({ kind, fromMs, untilMs }: FaultPeriod): string =>
  `fault ${kind} ${Math.round(fromMs)}..${Math.round(untilMs)}`;

/** Plays one scenario and returns what was wrong, with a trace. */
const play = async (seed: number): Promise<readonly string[]> => {
  const random = createRandom(seed * 7919);
  vi.spyOn(Math, 'random').mockImplementation(createRandom(seed * 104_729));
  const fleet = await createStartedFleet({ accounts: [], seed: seed * 31 });
  const scenario: Scenario = { fleet, random };
  const periods: FaultPeriod[] = [];
  const jobs = Array.from({ length: CLIENT_COUNT }, (): ClientJob => {
    const prepared = prepareJob(scenario);
    const job: ClientJob = {
      jobId: prepared.job.jobId,
      trace: [],
      isAccepted: false,
      isCancelSent: false,
      cancelledAtMs: Infinity,
    };
    void runClient(scenario, job, prepared);
    return job;
  });
  Array.from({ length: FILLER_COUNT }).forEach(() => {
    void fillPool(scenario);
  });
  const faultCount = Math.floor(random() * (MAX_FAULTS + 1));
  Array.from({ length: faultCount }).forEach(() => {
    void playFault(scenario, periods);
  });
  await advanceTime(END_MS);
  const problems = jobs.flatMap((job) => findProblems(fleet, job, periods));
  return problems.length > 0 ? [...problems, ...periods.map(describePeriod)] : [];
};

describe('acknowledged cancellations beside random faults', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS], now: 0 });
  });

  afterEach(() => {
    vi.restoreAllMocks();
    vi.useRealTimers();
  });

  it.each(SEEDS)(
    'forbid each later start, and jobs without one complete, with seed %i',
    async (seed) => {
      expect(await play(seed)).toEqual([]);
    },
    30_000,
  );
});
