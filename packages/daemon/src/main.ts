/**
 * The daemon process: reads its settings, runs one entry, and shuts it down gracefully on SIGTERM
 * or SIGINT.
 */
import { startEntry } from './entry/entry.js';
import { readSettings } from './settings/settings.js';

const EXIT_INVALID_SETTINGS = 2;

const settings = await readSettings(process.argv);
if (settings.isErr()) {
  process.stderr.write(`valvelatchd: ${settings.error}\n`);
  process.exit(EXIT_INVALID_SETTINGS);
}
try {
  const entry = await startEntry(settings.value);
  const stop = (): void => {
    void entry.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
} catch (error) {
  process.stderr.write(`valvelatchd: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(1);
}
