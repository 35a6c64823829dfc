/**
 * The command line of the benchmarks, with a subcommand for each, for example `bench data-path`.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { benchAccounts } from './accounts/accounts.js';
import { benchBacklogs } from './backlog/backlog.js';
import { benchControl } from './control/control-costs.js';
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
    'the cost of a hop, compared with a minimal forwarder',
    {
      requests: { type: 'number', default: 20_000, describe: 'requests per round' },
      rounds: { type: 'number', default: 5 },
    } as const,
    async ({ requests, rounds }) => printRows(await benchDataPath({ requests, rounds })),
  )
  .command('overload', 'goodput and isolation under overload', {}, async () =>
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
  .command(
    'control',
    'the cost of a host, a member, a configuration change and a control turn',
    {},
    () => printRows(benchControl()),
  )
  .command('accounts', 'the cost of keys, quotas and shares of client accounts', {}, () =>
    printRows(benchAccounts()),
  )
  .command(
    'backlog',
    'the cost of a scheduling pass over a full pool, by the number of waiting steps',
    {},
    () => printRows(benchBacklogs()),
  )
  .command('placement', 'the cost of choosing an endpoint in a fleet of 21,000 hosts', {}, () =>
    printRows(benchPlacement()),
  )
  .command(
    'idle',
    'the resource use of an idle entry',
    {
      example: { choices: ['kutch-hills', 'be-central'] as const, default: 'kutch-hills' as const },
    },
    async ({ example }) => printRows(await benchIdle(example)),
  )
  .command(
    'memory',
    'the memory use of an entry over many requests',
    { requests: { type: 'number', default: 1_000_000 } } as const,
    async ({ requests }) => printRows(await benchMemory(requests)),
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
