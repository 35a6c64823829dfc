/** The operators' command line. */
import { Err } from 'ts-results-es';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';

import { callEntry, type Answer } from './client.js';
import { readFiles } from './files.js';
import { exitCode, printAnswer, type OutputForm, type TableWriter } from './output.js';
import { replayFile, replayLines } from './replay-command.js';
import {
  applyLines,
  differenceLines,
  explanationLines,
  listWriter,
  statusLines,
} from './tables.js';

type Common = { readonly url: string; readonly key?: string; readonly output: string };

const asJsonLine: TableWriter = (value) => [JSON.stringify(value)];

const run = async (
  common: Common,
  method: string,
  body: unknown,
  toLines: TableWriter,
): Promise<void> => {
  const { key = '', url, output } = common;
  const answer: Answer = await callEntry({ urls: url.split(','), key }, method, body);
  printAnswer(answer, output as OutputForm, toLines);
};

const readOrComplain = async (paths: readonly string[]) => {
  try {
    return await readFiles(paths);
  } catch (error) {
    process.stderr.write(`valvelatch: ${(error as Error).message}\n`);
    return process.exit(exitCode.invalid);
  }
};

const fileOption = {
  alias: 'f',
  type: 'string',
  array: true,
  demandOption: true,
  describe: 'files, or folders with YAML files',
} as const;

const listCommand = (argv: Argv<Common>, kind: 'pools' | 'hosts' | 'jobs') =>
  argv.command(
    'list',
    `list ${kind}`,
    { selector: { type: 'string', default: '', describe: 'labels to match, for hosts' } } as const,
    (args) =>
      run(args as never, 'get', { kind, selector: args.selector }, listWriter(kind) as TableWriter),
  );

const poolCommands = (argv: Argv<Common>) => listCommand(argv, 'pools').demandCommand(1).strict();

const hostCommands = (argv: Argv<Common>) =>
  listCommand(argv, 'hosts')
    .command('drain <host>', 'empty a host and keep it out of use', {}, (args) =>
      run(args as never, 'host-drain', { hostId: args.host }, asJsonLine),
    )
    .command('return <host>', 'take a host back into use', {}, (args) =>
      run(args as never, 'host-return', { hostId: args.host }, asJsonLine),
    )
    .command(
      'move <host>',
      'move a host to another pool, once it is empty',
      {
        to: { type: 'string', demandOption: true, describe: 'the pool' },
      } as const,
      (args) =>
        run(
          args as never,
          'host-move',
          { hostId: (args as never as { host: string }).host, toPool: args.to },
          asJsonLine,
        ),
    )
    .demandCommand(1)
    .strict();

const jobCommands = (argv: Argv<Common>) =>
  listCommand(argv, 'jobs')
    .command('submit', 'submit jobs', { file: fileOption } as const, async (args) => {
      const files = await readOrComplain(args.file);
      await run(args as never, 'job-submit', { files }, asJsonLine);
    })
    .command('cancel <name>', 'cancel a job', {}, (args) =>
      run(args as never, 'job-cancel', { name: args.name }, asJsonLine),
    )
    .demandCommand(1)
    .strict();

const waveChange = (argv: Argv<Common>, change: 'hold' | 'resume' | 'cancel') =>
  argv.command(`${change} <name>`, `${change} a wave`, {}, (args) =>
    run(args as never, 'wave-change', { name: args.name, change }, asJsonLine),
  );

const waveCommands = (argv: Argv<Common>) => {
  const started = argv
    .command(
      'start <name>',
      'start a wave of maintenance over the hosts that a selector names',
      { selector: { type: 'string', demandOption: true } } as const,
      (args) =>
        run(
          args as never,
          'wave-start',
          { name: (args as never as { name: string }).name, selector: args.selector },
          asJsonLine,
        ),
    )
    .command('list', 'list waves', {}, (args) =>
      run(args as never, 'get', { kind: 'waves' }, listWriter('waves') as TableWriter),
    );
  waveChange(started, 'hold');
  waveChange(started, 'resume');
  waveChange(started, 'cancel');
  return started.demandCommand(1).strict();
};

const cli = yargs(hideBin(process.argv))
  .scriptName('valvelatch')
  .usage(
    '$0 <command>\n\nExit codes: 0 done, 1 fault, 2 usage, 3 invalid, 4 conflict, 5 not found, 6 unavailable, 7 key refused.',
  )
  .options({
    url: {
      type: 'string',
      default: process.env.VALVELATCH_URL ?? 'http://127.0.0.1:7002',
      describe: "operators' addresses of entries, joined by commas (VALVELATCH_URL)",
    },
    key: {
      type: 'string',
      default: process.env.VALVELATCH_KEY,
      defaultDescription: 'VALVELATCH_KEY',
      describe: "the operators' key (VALVELATCH_KEY)",
    },
    output: { choices: ['table', 'json'] as const, default: 'table', describe: 'form of output' },
  })
  .command(
    'apply',
    'put a set of declarations in force, whole or not at all',
    {
      file: fileOption,
      'base-revision': { type: 'number', describe: 'the revision that you have seen' },
      author: { type: 'string', default: process.env.USER ?? 'operator' },
      'wait-ms': {
        type: 'number',
        default: 0,
        describe: 'wait so long for it to be in force everywhere',
      },
    } as const,
    async (args) => {
      const files = await readOrComplain(args.file);
      const { baseRevision, author, waitMs } = args;
      await run(args as never, 'apply', { files, baseRevision, author, waitMs }, applyLines);
    },
  )
  .command(
    'diff',
    'show what an apply would change',
    { file: fileOption } as const,
    async (args) => {
      const files = await readOrComplain(args.file);
      const toLines = ({ revision, difference }: { revision: number; difference: never }) => [
        `against revision ${revision}`,
        ...differenceLines(difference),
      ];
      await run(args as never, 'diff', { files }, toLines);
    },
  )
  .command(
    'get <kind>',
    'show what is in force',
    (argv) =>
      argv
        .positional('kind', {
          choices: [
            'config',
            'pools',
            'hosts',
            'data-centres',
            'jobs',
            'placements',
            'waves',
            'accounts',
            'domains',
          ] as const,
          demandOption: true,
        })
        .option('selector', {
          type: 'string',
          default: '',
          describe: 'labels to match, for hosts',
        }),
    (args) => {
      const toLines = args.kind === 'config' ? asJsonLine : (listWriter(args.kind) as TableWriter);
      return run(args, 'get', { kind: args.kind, selector: args.selector }, toLines);
    },
  )
  .command('pool', 'pools of hosts', (argv) => poolCommands(argv as never))
  .command('host', 'hosts', (argv) => hostCommands(argv as never))
  .command('job', 'jobs', (argv) => jobCommands(argv as never))
  .command('wave', 'waves of maintenance', (argv) => waveCommands(argv as never))
  .command(
    'doubt-clear',
    'vouch that no claim of a replaced data centre matters any more',
    {},
    (args) => run(args as never, 'doubt-clear', {}, asJsonLine),
  )
  .command(
    'explain <kind> <name>',
    'why a job runs where it does, a host is withheld, a request was refused',
    (argv) =>
      argv
        .positional('kind', {
          choices: ['job', 'host', 'request', 'wave', 'account', 'data-centre', 'domain'] as const,
          demandOption: true,
        })
        .positional('name', { type: 'string', demandOption: true }),
    (args) =>
      run(
        args as never,
        'explain',
        { kind: args.kind, name: args.name },
        explanationLines as TableWriter,
      ),
  )
  .command(
    'replay <file>',
    'replay a recorded trace against the decisions and check its stated outcomes',
    (argv) =>
      argv
        .positional('file', { type: 'string', demandOption: true })
        .option('decisions', { type: 'boolean', default: true, describe: 'show each decision' }),
    async ({ file, decisions, output }) => {
      const report = await replayFile(file).catch((error: Error) => Err(error.message));
      if (report.isErr()) {
        process.stderr.write(`valvelatch: ${report.error}\n`);
        process.exitCode = exitCode.invalid;
        return;
      }
      process.exitCode = report.value.broken.length === 0 ? exitCode.ok : exitCode.fault;
      const lines =
        output === 'json'
          ? [JSON.stringify(report.value, null, 2)]
          : replayLines(report.value, decisions);
      process.stdout.write(`${lines.join('\n')}\n`);
    },
  )
  .command('status', 'how the entries stand', {}, (args) =>
    run(args as never, 'status', {}, statusLines as TableWriter),
  )
  .demandCommand(1, 'name a command')
  .strict()
  .recommendCommands()
  .wrap(null)
  .fail((message, error) => {
    process.stderr.write(`valvelatch: ${message ?? error.message}\n`);
    process.exit(message ? exitCode.usage : exitCode.fault);
  });

await cli.parseAsync();
