import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';

import { describe, expect, it } from 'vitest';

import { replayFile } from './replay-command.js';

const folder = fileURLToPath(new URL('../../../examples/traces/', import.meta.url));
const traces = readdirSync(folder).filter((name) => name.endsWith('.jsonl'));

describe('recorded traces', () => {
  it('exist', () => {
    expect(traces.length).toBeGreaterThanOrEqual(6);
  });

  it.each(traces)('give the outcomes that they expect: %s', async (name) => {
    const report = (await replayFile(join(folder, name))).unwrap();
    expect(report.broken).toEqual([]);
    expect(report.held).toBeGreaterThan(0);
  });

  it('give the same decisions in each replay', async () => {
    const file = join(folder, traces[0] as string);
    const [first, second] = [await replayFile(file), await replayFile(file)];
    expect(first.unwrap().decisions).toEqual(second.unwrap().decisions);
  });
});
