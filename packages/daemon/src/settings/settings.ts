/**
 * The settings of the daemon. Each is a flag and an environment variable, and is validated at
 * startup.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { z } from 'zod';

const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

/** A setting: its description, the accepted values in words, and the schema that checks them. */
type Setting = {
  readonly describe: string;
  readonly accepts: string;
  readonly schema: z.ZodType;
};

const setting = <Schema extends z.ZodType>(
  describe: string,
  accepts: string,
  schema: Schema,
): Setting & { readonly schema: Schema } => ({ describe, accepts, schema });

const wholeNumber = (min: number, max: number) => z.coerce.number().int().min(min).max(max);
const httpUrl = z.url({ protocol: /^https?$/ });
const socketUrl = z.url({ protocol: /^wss?$/ });
const MIN_KEY_LENGTH = 16;
const MEBIBYTE = 1024 * 1024;

const port = (describe: string) =>
  setting(describe, 'a port number; 0 takes a free one', wholeNumber(0, 65_535).default(0));

const milliseconds = (describe: string, defaultMs: number, maxMs: number) =>
  setting(describe, `milliseconds, from 1 to ${maxMs}`, wholeNumber(1, maxMs).default(defaultMs));

const key = (describe: string) =>
  setting(
    describe,
    `a secret of at least ${MIN_KEY_LENGTH} characters`,
    z.string().min(MIN_KEY_LENGTH),
  );

/** The table of all settings, by flag. */
export const settingsTable = {
  'entry-id': setting(
    'name of this entry',
    'lower-case letters, digits, hyphens',
    z.string().regex(NAME),
  ),
  'data-centre': setting(
    'data centre of this entry',
    'lower-case letters, digits, hyphens',
    z.string().regex(NAME),
  ),
  'listen-host': setting(
    'address to listen on, and to be reached at',
    'an IP address',
    z.union([z.ipv4(), z.ipv6()]).default('127.0.0.1'),
  ),
  'callers-port': port('port towards callers'),
  'operators-port': port('port towards operators'),
  'mesh-port': port('port towards the other entries'),
  'platform-url': setting("address of the platform's services", 'an http URL', httpUrl),
  'workers-url': setting('address of the workers of this data centre', 'an http URL', httpUrl),
  seeds: setting(
    'addresses of entries to join, joined by commas',
    'ws URLs, joined by commas',
    z
      .string()
      .default('')
      .transform((text) => text.split(',').filter((part) => part !== ''))
      .pipe(z.array(socketUrl)),
  ),
  'operator-key': key('secret that operators show'),
  'mesh-key': key('secret that entries show to each other'),
  'platform-timeout-ms': milliseconds('bound on one request to the platform', 1000, 60_000),
  'most-body-bytes': setting(
    'largest body of a request or an answer',
    'bytes, from 1 to 268435456',
    wholeNumber(1, 256 * MEBIBYTE).default(8 * MEBIBYTE),
  ),
  'most-header-bytes': setting(
    'largest head of a request',
    'bytes, from 1024 to 1048576',
    wholeNumber(1024, MEBIBYTE).default(16_384),
  ),
  'receive-timeout-ms': milliseconds(
    'time for a caller to send its whole request',
    30_000,
    600_000,
  ),
  'most-waiting': setting(
    'requests that may wait for one service',
    'a whole number from 1 to 100000',
    wholeNumber(1, 100_000).default(256),
  ),
  'seat-lease-ms': milliseconds('duration of the lease on a seat', 6000, 600_000),
  'control-lease-ms': milliseconds('duration of the lease on the control of a pool', 4000, 600_000),
  'control-turn-ms': milliseconds('pause between control turns', 1000, 60_000),
  'log-level': setting(
    'least level of events that are logged',
    'one of trace, debug, info, warn, error',
    z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  ),
  'trace-exporter': setting(
    'where spans go',
    'one of none, log, otlp',
    z.enum(['none', 'log', 'otlp']).default('none'),
  ),
  'otlp-url': setting(
    'address of the trace collector',
    'an http URL',
    httpUrl.default('http://127.0.0.1:4318/v1/traces'),
  ),
} as const;

type SettingsTable = typeof settingsTable;

/** The validated settings, by flag. */
export type Settings = {
  readonly [Flag in keyof SettingsTable]: z.infer<SettingsTable[Flag]['schema']>;
};

const flags = Object.keys(settingsTable) as (keyof SettingsTable)[];
const ENVIRONMENT_PREFIX = 'VALVELATCH';

/**
 * Returns the name of the environment variable of a flag.
 *
 * @param flag - The flag, without leading hyphens.
 * @returns The name, for example `VALVELATCH_ENTRY_ID`.
 */
export const environmentName = (flag: string): string =>
  `${ENVIRONMENT_PREFIX}_${flag.toUpperCase().replaceAll('-', '_')}`;

const formatError = (flag: keyof SettingsTable, given: unknown): string => {
  const value = given === undefined ? 'nothing' : `'${String(given)}'`;
  return `--${flag} (${environmentName(flag)}): got ${value}, expected ${settingsTable[flag].accepts}`;
};

/**
 * Validates raw settings.
 *
 * @param raw - The values by flag, as text; undefined for a flag that is not set.
 * @returns The settings, or one line that names the first invalid flag, its value and the accepted
 * values.
 */
export const validateSettings = (
  raw: Readonly<Record<string, unknown>>,
): Result<Settings, string> => {
  const checked: Record<string, unknown> = {};
  const invalidFlag = flags.find((flag) => {
    const parsed = settingsTable[flag].schema.safeParse(raw[flag]);
    if (parsed.success) checked[flag] = parsed.data;
    return !parsed.success;
  });
  return invalidFlag === undefined
    ? Ok(checked as Settings)
    : Err(formatError(invalidFlag, raw[invalidFlag]));
};

const fromEnvironment = (environment: NodeJS.ProcessEnv): Record<string, string> =>
  Object.fromEntries(
    flags.flatMap((flag) => {
      const value = environment[environmentName(flag)];
      return value === undefined ? [] : [[flag, value]];
    }),
  );

/**
 * Reads the settings of the process from its flags and its environment.
 *
 * @param argv - The arguments of the process, as in `process.argv`; they override the environment.
 * @param environment - The environment; variables that belong to no flag are ignored.
 * @returns The settings, or one line that describes the first error.
 */
export const readSettings = async (
  argv: readonly string[],
  environment: NodeJS.ProcessEnv = process.env,
): Promise<Result<Settings, string>> => {
  let errorMessage: string | undefined;
  const parser = yargs(hideBin([...argv]))
    .scriptName('valvelatchd')
    .usage('$0: an entry of valvelatch. Each flag is an environment variable too.')
    .parserConfiguration({ 'camel-case-expansion': false, 'parse-numbers': false })
    .options(
      Object.fromEntries(
        flags.map((flag) => [
          flag,
          {
            type: 'string' as const,
            describe: `${settingsTable[flag].describe} (${settingsTable[flag].accepts})`,
          },
        ]),
      ),
    )
    .strict()
    .wrap(null)
    .exitProcess(true)
    .fail((message, error) => {
      errorMessage = message ?? error?.message ?? 'settings cannot be read';
    });
  const given = await parser.parseAsync();
  return errorMessage === undefined
    ? validateSettings({ ...fromEnvironment(environment), ...given })
    : Err(errorMessage);
};
