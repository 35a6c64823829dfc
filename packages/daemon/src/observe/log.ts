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

/** Fields as text, each after a space. Thousands of lines a second come here: no record is copied. */
const fieldsText = (fields: LogFields): string => {
  let text = '';
  Object.keys(fields).forEach((key) => {
    const value = fields[key];
    if (value !== undefined) text += ` ${key}=${valueText(value)}`;
  });
  return text;
};

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
  const commonText = fieldsText(common);
  const write =
    (name: keyof Log) =>
    (event: string, fields: LogFields = {}): void => {
      const time = new Date().toISOString();
      const head = `time=${time} level=${name} event=${valueText(event)}`;
      const line = `${head}${commonText}${fieldsText(fields)}`;
      if (sink) logger[name](line, event);
      else logger[name](line);
    };
  return { debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error') };
};
