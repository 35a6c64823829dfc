/**
 * Builds the program of the users' platform once before all tests: two files that built it at the
 * same time could start a process from a file that was half written.
 */
import { execFileSync } from 'node:child_process';
import path from 'node:path';

const ROOT = import.meta.dirname;

export const setup = (): void => {
  execFileSync(process.execPath, [path.join(ROOT, 'bin/bundle.js')], {
    cwd: ROOT,
    stdio: 'ignore',
  });
};
