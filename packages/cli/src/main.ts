/** The command line for operators, `valvelatch`. */
import { Err } from 'ts-results-es';
import yargs, { type Argv } from 'yargs';
import { hideBin } from 'yargs/helpers';

import { callEntry, type Answer } from './entry-client.js';
import { readDeclarationFiles } from './declaration-files.js';
import { EXIT_CODES, printAnswer, type OutputFormat, type LineFormatter } from './output.js';
import { replayFile, formatReplayReport } from './replay-command.js';
import {
  formatApplyResult,
  formatDifference,
  formatExplanation,
  createListFormatter,
  formatStatus,
} from './formatters.js';

/** The options that all commands share. */
type CommonOptions = { readonly url: string; readonly key?: string; readonly output: string };

const formatJsonLine: LineFormatter = (value) => [JSON.stringify(value)];

const run = async (
  commonOptions: CommonOptions,
  method: string,
  body: unknown,
  toLines: LineFormatter,
): Promise<void> => {
  const { key = '', url, output } = commonOptions;
  const answer: Answer = await callEntry({ urls: url.split(','), key }, method, body);
  printAnswer(answer, output as OutputFormat, toLines);
};

/** Reads the given files; prints the error and exits when one cannot be read. */
const readFilesOrExit = async (paths: readonly string[]) => {
  try {
    return await readDeclarationFiles(paths);
  } catch (error) {
    process.stderr.write(`valvelatch: ${(error as Error).message}\n`);
    return process.exit(EXIT_CODES.invalid);
  }
};

const fileOption = {
  alias: 'f',
  type: 'string',
  array: true,
  demandOption: true,
  describe: 'files, or folders with YAML files',
} as const;

const listCommand = (argv: Argv<CommonOptions>, kind: 'pools' | 'hosts' | 'jobs') =>
  argv.command(
    'list',
    `list ${kind}`,
    { selector: { type: 'string', default: '', describe: 'labels to match, for hosts' } } as const,
    (args) =>
      run(
        args as never,
        'get',
        { kind, selector: args.selector },
        createListFormatter(kind) as LineFormatter,
      ),
  );

const poolCommands = (argv: Argv<CommonOptions>) =>
  listCommand(argv, 'pools').demandCommand(1).strict();

const hostCommands = (argv: Argv<CommonOptions>) =>
  listCommand(argv, 'hosts')
    .command('drain <host>', 'drain a host and take it out of service', {}, (args) =>
      run(args as never, 'host-drain', { hostId: args.host }, formatJsonLine),
    )
    .command('return <host>', 'return a host to service', {}, (args) =>
      run(args as never, 'host-return', { hostId: args.host }, formatJsonLine),
    )
    .command(
      'move <host>',
      'move a host to another pool once it is empty',
      {
        to: { type: 'string', demandOption: true, describe: 'the pool' },
      } as const,
      (args) =>
        run(
          args as never,
          'host-move',
          { hostId: (args as never as { host: string }).host, toPool: args.to },
          formatJsonLine,
        ),
    )
    .demandCommand(1)
    .strict();

const jobCommands = (argv: Argv<CommonOptions>) =>
  listCommand(argv, 'jobs')
    .command('submit', 'submit jobs', { file: fileOption } as const, async (args) => {
      const files = await readFilesOrExit(args.file);
      await run(args as never, 'job-submit', { files }, formatJsonLine);
    })
    .command('cancel <name>', 'cancel a job', {}, (args) =>
      run(args as never, 'job-cancel', { name: args.name }, formatJsonLine),
    )
    .demandCommand(1)
    .strict();

const addWaveChangeCommand = (argv: Argv<CommonOptions>, change: 'hold' | 'resume' | 'cancel') =>
  argv.command(`${change} <name>`, `${change} a maintenance wave`, {}, (args) =>
    run(args as never, 'wave-change', { name: args.name, change }, formatJsonLine),
  );

const waveCommands = (argv: Argv<CommonOptions>) => {
  const commands = argv
    .command(
      'start <name>',
      'start a maintenance wave on the hosts that match a selector',
      { selector: { type: 'string', demandOption: true } } as const,
      (args) =>
        run(
          args as never,
          'wave-start',
          { name: (args as never as { name: string }).name, selector: args.selector },
          formatJsonLine,
        ),
    )
    .command('list', 'list maintenance waves', {}, (args) =>
      run(args as never, 'get', { kind: 'waves' }, createListFormatter('waves') as LineFormatter),
    );
  addWaveChangeCommand(commands, 'hold');
  addWaveChangeCommand(commands, 'resume');
  addWaveChangeCommand(commands, 'cancel');
  return commands.demandCommand(1).strict();
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
      describe: "addresses of the entries' operators' ports, separated by commas (VALVELATCH_URL)",
    },
    key: {
      type: 'string',
      default: process.env.VALVELATCH_KEY,
      defaultDescription: 'VALVELATCH_KEY',
      describe: "the operators' key (VALVELATCH_KEY)",
    },
    output: { choices: ['table', 'json'] as const, default: 'table', describe: 'output format' },
  })
  .command(
    'apply',
    'apply a set of declarations atomically',
    {
      file: fileOption,
      'base-revision': { type: 'number', describe: 'the revision that the changes are based on' },
      author: { type: 'string', default: process.env.USER ?? 'operator' },
      'wait-ms': {
        type: 'number',
        default: 0,
        describe: 'how long to wait until all entries have applied it',
      },
    } as const,
    async (args) => {
      const files = await readFilesOrExit(args.file);
      const { baseRevision, author, waitMs } = args;
      await run(args as never, 'apply', { files, baseRevision, author, waitMs }, formatApplyResult);
    },
  )
  .command(
    'diff',
    'show what an apply would change',
    { file: fileOption } as const,
    async (args) => {
      const files = await readFilesOrExit(args.file);
      const toLines = ({ revision, difference }: { revision: number; difference: never }) => [
        `against revision ${revision}`,
        ...formatDifference(difference),
      ];
      await run(args as never, 'diff', { files }, toLines);
    },
  )
  .command(
    'get <kind>',
    'show the current configuration or state',
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
      const toLines =
        args.kind === 'config' ? formatJsonLine : (createListFormatter(args.kind) as LineFormatter);
      return run(args, 'get', { kind: args.kind, selector: args.selector }, toLines);
    },
  )
  .command('pool', 'pools of hosts', (argv) => poolCommands(argv as never))
  .command('host', 'hosts', (argv) => hostCommands(argv as never))
  .command('job', 'jobs', (argv) => jobCommands(argv as never))
  .command('wave', 'maintenance waves', (argv) => waveCommands(argv as never))
  .command(
    'doubt-clear',
    'confirm that claims of replaced data centres no longer matter',
    {},
    (args) => run(args as never, 'doubt-clear', {}, formatJsonLine),
  )
  .command(
    'explain <kind> <name>',
    'explain a placement, the state of an object or a refused request',
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
        formatExplanation as LineFormatter,
      ),
  )
  .command(
    'replay <file>',
    'replay a recorded trace and check the outcomes that it expects',
    (argv) =>
      argv
        .positional('file', { type: 'string', demandOption: true })
        .option('decisions', { type: 'boolean', default: true, describe: 'show each decision' }),
    async ({ file, decisions, output }) => {
      const report = await replayFile(file).catch((error: Error) => Err(error.message));
      if (report.isErr()) {
        process.stderr.write(`valvelatch: ${report.error}\n`);
        process.exitCode = EXIT_CODES.invalid;
        return;
      }
      process.exitCode = report.value.broken.length === 0 ? EXIT_CODES.ok : EXIT_CODES.fault;
      const lines =
        output === 'json'
          ? [JSON.stringify(report.value, null, 2)]
          : formatReplayReport(report.value, decisions);
      process.stdout.write(`${lines.join('\n')}\n`);
    },
  )
  .command('status', 'show the status of the entries', {}, (args) =>
    run(args as never, 'status', {}, formatStatus as LineFormatter),
  )
  .demandCommand(1, 'a command is required')
  .strict()
  .recommendCommands()
  .wrap(null)
  .fail((message, error) => {
    process.stderr.write(`valvelatch: ${message ?? error.message}\n`);
    process.exit(message ? EXIT_CODES.usage : EXIT_CODES.fault);
  });

await cli.parseAsync();
