/** Logs: one line of key=value pairs for each event. */
import loglevel from 'loglevel';

type LogValue = string | number | boolean | null | undefined;

/** The fields of an event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes events. */
export type Log = Readonly<
  Record<'debug' | 'info' | 'warn' | 'error', (event: string, fields?: LogFields) => void>
>;

const NEEDS_QUOTES = /[\s"=]/;

const valueText = (value: LogValue): string => {
  const text = String(value);
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
};

/**
 * Writes an event as one line.
 *
 * @param event - The name of the event.
 * @param fields - Its fields; undefined ones are left out.
 * @returns The line, without a time.
 */
export const logLine = (event: string, fields: LogFields): string =>
  Object.entries({ event, ...fields })
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${valueText(value)}`)
    .join(' ');

export type LogOptions = {
  readonly level?: loglevel.LogLevelDesc;
  /** Fields that each event carries. */
  readonly common?: LogFields;
  /** Where lines go, each with the name of its event; the console if left out. */
  readonly sink?: (line: string, event: string) => void;
};

/**
 * Opens a log on the standard output.
 *
 * @param options - The least level and the common fields.
 * @returns The log.
 */
export const createLog = ({ level = 'info', common = {}, sink }: LogOptions = {}): Log => {
  const logger = loglevel.getLogger(`valvelatch/${JSON.stringify(common)}`);
  if (sink) logger.methodFactory = () => sink;
  logger.setLevel(level, false);
  const write =
    (name: keyof Log) =>
    (event: string, fields: LogFields = {}): void => {
      const time = new Date().toISOString();
      const line = `time=${time} level=${name} ${logLine(event, { ...common, ...fields })}`;
      if (sink) logger[name](line, event);
      else logger[name](line);
    };
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') };
};
