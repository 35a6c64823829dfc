import { readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

import { formatSettingsRows } from './settings-rows.js';

const page = readFileSync(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
const normalizeCells = (line: string): string =>
  line
    .split('|')
    .map((cell) => cell.trim())
    .join('|');

describe('operations page', () => {
  it('lists every setting with its description, accepted values and default as defined in the code', () => {
    const listed = page.split('\n').map(normalizeCells);
    formatSettingsRows().forEach((row) => expect(listed).toContain(normalizeCells(row)));
  });
});
