/** The daemon: reads its settings, runs one entry, and stops as planned on a signal. */
import { startEntry } from './entry/entry.js';
import { readSettings } from './settings/settings.js';

const WRONG_SETTING = 2;

const settings = await readSettings(process.argv);
if (settings.isErr()) {
  process.stderr.write(`valvelatchd: ${settings.error}\n`);
  process.exit(WRONG_SETTING);
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
