/** Skips the tests that `KNOWN-RED.txt` lists and prints each of them. */
import { readFileSync } from 'node:fs';
import path from 'node:path';

import { beforeEach } from 'vitest';

const ROOT = import.meta.dirname;
const SEPARATOR = ' > ';

const listed = new Map(
  readFileSync(path.join(ROOT, 'KNOWN-RED.txt'), 'utf8')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'))
    .map((line) => [line.split(' | ')[0] ?? '', line] as const),
);

beforeEach(({ task, skip }) => {
  const names = [task.name];
  let { suite } = task;
  while (suite && suite !== task.file) {
    names.unshift(suite.name);
    suite = suite.suite;
  }
  const file = path.relative(ROOT, task.file.filepath);
  const line = listed.get([file, ...names].join(SEPARATOR));
  if (line === undefined) return;
  process.stderr.write(`KNOWN RED, passed over: ${line}\n`);
  skip();
});
