/** Logs: one line of key=value pairs for each event. */
import loglevel from 'loglevel';

type LogValue = string | number | boolean | null | undefined;

/** The fields of an event. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Writes events at a level. */
export type Log = Readonly<
  Record<'debug' | 'info' | 'warn' | 'error', (event: string, fields?: LogFields) => void>
>;

const NEEDS_QUOTES = /[\s"=]/;

const formatValue = (value: LogValue): string => {
  const text = String(value);
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
};

/**
 * Formats fields, each preceded by a space. It runs for thousands of lines per second, so it doesn't
 * copy the fields into another object.
 */
const formatFields = (fields: LogFields): string => {
  let text = '';
  Object.keys(fields).forEach((key) => {
    const value = fields[key];
    if (value !== undefined) text += ` ${key}=${formatValue(value)}`;
  });
  return text;
};

export type LogOptions = {
  readonly level?: loglevel.LogLevelDesc;
  /** Fields that every event carries. */
  readonly commonFields?: LogFields;
  /** Receives each line with the name of its event. Defaults to the console. */
  readonly sink?: (line: string, event: string) => void;
};

/**
 * Opens a log on the standard output.
 *
 * @param options - The minimum level, the common fields and the sink.
 * @returns The log.
 */
export const createLog = ({ level = 'info', commonFields = {}, sink }: LogOptions = {}): Log => {
  const logger = loglevel.getLogger(`valvelatch/${JSON.stringify(commonFields)}`);
  if (sink) logger.methodFactory = () => sink;
  logger.setLevel(level, false);
  const commonText = formatFields(commonFields);
  const write =
    (name: keyof Log) =>
    (event: string, fields: LogFields = {}): void => {
      const time = new Date().toISOString();
      const head = `time=${time} level=${name} event=${formatValue(event)}`;
      const line = `${head}${commonText}${formatFields(fields)}`;
      if (sink) logger[name](line, event);
      else logger[name](line);
    };
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') };
};
