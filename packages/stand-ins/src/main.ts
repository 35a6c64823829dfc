/** The command that runs a stand-in as a process: `stand-in platform` or `stand-in workers`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { startPlatform } from './platform.js';
import { startWorkers } from './workers.js';

type Running = { readonly url: string; readonly close: () => Promise<void> };

const runUntilSignal = (name: string, running: Running): void => {
  process.stdout.write(`event=listening what=${name} url=${running.url}\n`);
  const stop = () => {
    void running.close().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

await yargs(hideBin(process.argv))
  .command('platform', 'run the table, the object store and the host list', {}, async () => {
    runUntilSignal('platform', await startPlatform());
  })
  .command(
    'workers',
    'run the workers of one data centre',
    {
      'data-centre': { type: 'string', demandOption: true },
      hosts: { type: 'string', demandOption: true, describe: 'host ids, separated by commas' },
      'platform-url': { type: 'string', demandOption: true },
      'reboot-ms': { type: 'number', default: 1000 },
      'work-ms': { type: 'number', default: 5 },
    },
    async ({ dataCentre, hosts, platformUrl, rebootMs, workMs }) => {
      runUntilSignal(
        'workers',
        await startWorkers({
          dataCentre,
          hostIds: hosts.split(','),
          platformUrl,
          rebootMs,
          workMs,
        }),
      );
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
