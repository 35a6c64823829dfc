import { readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

import { settingsRows } from './settings-rows.js';

const page = readFileSync(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
const cells = (line: string): string =>
  line
    .split('|')
    .map((cell) => cell.trim())
    .join('|');

describe('the operators’ page', () => {
  it('lists every setting as the code has it', () => {
    const listed = page.split('\n').map(cells);
    settingsRows().forEach((row) => expect(listed).toContain(cells(row)));
  });
});
