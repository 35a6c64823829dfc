/**
 * Builds the bundle for the users' platform once before all tests. If two test files built it
 * concurrently, one could start a process from a partially written bundle.
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
