/** Measures goodput and isolation between callers under overload, in virtual time. */
import { createRng } from '@valvelatch/core';
import * as hdr from 'hdr-histogram-js';

import { roundToPrecision, type BenchRow } from '../report.js';
import { createVirtualExecutor } from './executors.js';
import { policies } from './policies.js';
import { createVirtualTime } from './virtual-time.js';

const EXECUTORS = 8;
const SLOTS = 8;
const MEAN_WORK_MS = 20;
const DEADLINE_MS = 500;
const RUN_MS = 20_000;
/** The heavy caller sends the part of the load that the light callers don't send. */
const LIGHT_CALLERS = ['light-1', 'light-2', 'light-3'];
const HEAVY_CALLER = 'heavy';
/**
 * The share of the capacity that each light caller requests. It is well below the quarter that each of
 * the four callers is guaranteed.
 */
const LIGHT_SHARE = 0.05;
const CAPACITY_PER_MS = (EXECUTORS * SLOTS) / MEAN_WORK_MS;
const LOAD_FACTORS = [0.8, 1, 2, 5];
const SEED = 7;

type Counts = { sent: number; good: number; refused: number; late: number };

const newCounts = (): Counts => ({ sent: 0, good: 0, refused: 0, late: 0 });

const runOne = async (policyName: string, loadFactor: number): Promise<BenchRow> => {
  const time = createVirtualTime();
  const rng = createRng(SEED);
  const executors = Array.from({ length: EXECUTORS }, () =>
    createVirtualExecutor({ time, rng, slots: SLOTS, meanWorkMs: MEAN_WORK_MS }),
  );
  const callers = [...LIGHT_CALLERS, HEAVY_CALLER];
  const create = policies[policyName] as (typeof policies)[string];
  const policy = create({ time, rng, executors, slots: SLOTS, callers });
  const heavy = newCounts();
  const light = newCounts();
  const lightTimes = hdr.build();

  const send = (caller: string): void => {
    const counts = caller === HEAVY_CALLER ? heavy : light;
    const sentMs = time.nowMs();
    const deadlineMs = sentMs + DEADLINE_MS;
    counts.sent += 1;
    policy.submit({
      caller,
      deadlineMs,
      onResponse: () => {
        const isGood = time.nowMs() <= deadlineMs;
        if (isGood) counts.good += 1;
        else counts.late += 1;
        if (caller !== HEAVY_CALLER) lightTimes.recordValue(Math.max(1, time.nowMs() - sentMs));
      },
      onRefused: () => {
        counts.refused += 1;
      },
    });
  };
  const startSending = (caller: string, perMs: number): void => {
    const next = (): void => {
      send(caller);
      time.schedule(time.nowMs() - Math.log(1 - rng()) / perMs, next);
    };
    time.schedule(-Math.log(1 - rng()) / perMs, next);
  };
  const lightPerMs = CAPACITY_PER_MS * LIGHT_SHARE;
  LIGHT_CALLERS.forEach((caller) => startSending(caller, lightPerMs));
  startSending(HEAVY_CALLER, CAPACITY_PER_MS * loadFactor - lightPerMs * LIGHT_CALLERS.length);
  await time.runUntil(RUN_MS);

  return {
    bench: 'overload',
    policy: policyName,
    loadFactor,
    goodputFraction: roundToPrecision((heavy.good + light.good) / (CAPACITY_PER_MS * RUN_MS)),
    lightGoodFraction: roundToPrecision(light.good / light.sent),
    lightCallerP99Ms: roundToPrecision(lightTimes.getValueAtPercentile(99)),
    notRun: heavy.refused + light.refused,
    mayHaveRun: heavy.late + light.late,
    mostAtOneExecutor: Math.max(...executors.map((executor) => executor.maxLoad())),
  };
};

/**
 * Runs each policy at each load factor.
 *
 * @returns One row per run; a load factor of 1 is the capacity.
 */
export const benchOverload = async (): Promise<readonly BenchRow[]> => {
  const rows: BenchRow[] = [];
  const names = Object.keys(policies);
  for (let index = 0; index < names.length * LOAD_FACTORS.length; index += 1) {
    const loadFactor = LOAD_FACTORS[Math.floor(index / names.length)] as number;
    rows.push(await runOne(names[index % names.length] as string, loadFactor));
  }
  return rows;
};
