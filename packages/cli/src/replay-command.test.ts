import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';

import { describe, expect, it } from 'vitest';

import { replayFile } from './replay-command.js';

const folder = fileURLToPath(new URL('../../../examples/traces/', import.meta.url));
const traces = readdirSync(folder).filter((name) => name.endsWith('.jsonl'));

describe('recorded traces', () => {
  it('are there', () => {
    expect(traces.length).toBeGreaterThanOrEqual(6);
  });

  it.each(traces)('come out as stated: %s', async (name) => {
    const report = (await replayFile(join(folder, name))).unwrap();
    expect(report.broken).toEqual([]);
    expect(report.held).toBeGreaterThan(0);
  });

  it('give the same decisions each time', async () => {
    const file = join(folder, traces[0] as string);
    const [first, second] = [await replayFile(file), await replayFile(file)];
    expect(first.unwrap().decisions).toEqual(second.unwrap().decisions);
  });
});
