/** The benchmarks: `bench data-path`, `bench overload`, `bench waves`, `bench control`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { benchAccounts } from './accounts/accounts.js';
import { benchBacklogs } from './backlog/backlog.js';
import { benchControl } from './control/control.js';
import { benchDataPath, benchMemory } from './data-path/data-path.js';
import { benchIdle } from './idle/idle.js';
import { benchOverload } from './overload/overload.js';
import { benchPlacement } from './placement/placement.js';
import { printRows } from './report.js';
import { benchWaves } from './waves/waves.js';

await yargs(hideBin(process.argv))
  .scriptName('bench')
  .command(
    'data-path',
    'the cost of a hop, against a bare forward',
    {
      requests: { type: 'number', default: 20_000, describe: 'requests a round' },
      rounds: { type: 'number', default: 5 },
    } as const,
    async ({ requests, rounds }) => printRows(await benchDataPath({ requests, rounds })),
  )
  .command('overload', 'goodput and isolation beyond capacity', {}, async () =>
    printRows(await benchOverload()),
  )
  .command(
    'waves',
    'roll-out time, moves and buffer cost of the planner and its baselines',
    {
      example: { choices: ['kutch-hills', 'be-central'] as const, default: 'kutch-hills' as const },
    },
    async ({ example }) => printRows(await benchWaves(example)),
  )
  .command('control', 'what a host, a member, a change and a turn cost', {}, () =>
    printRows(benchControl()),
  )
  .command('accounts', 'what keys, quotas and shares of client accounts cost', {}, () =>
    printRows(benchAccounts()),
  )
  .command('backlog', 'what a pass over a full pool costs, by the steps that wait', {}, () =>
    printRows(benchBacklogs()),
  )
  .command('placement', 'what it costs to choose an endpoint at 21,000 hosts', {}, () =>
    printRows(benchPlacement()),
  )
  .command(
    'idle',
    'what an entry costs while nobody sends requests',
    {
      example: { choices: ['kutch-hills', 'be-central'] as const, default: 'kutch-hills' as const },
    },
    async ({ example }) => printRows(await benchIdle(example)),
  )
  .command(
    'memory',
    'the memory of an entry over many requests',
    { requests: { type: 'number', default: 1_000_000 } } as const,
    async ({ requests }) => printRows(await benchMemory(requests)),
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
