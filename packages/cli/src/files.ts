/** Finding and reading declaration files. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { join } from 'node:path';

import type { DeclarationFile } from '@valvelatch/core';

const IS_YAML = /\.ya?ml$/;

const listFiles = async (path: string): Promise<readonly string[]> => {
  if (!(await stat(path)).isDirectory()) return [path];
  const entries = await readdir(path, { recursive: true });
  return entries
    .filter((entry) => IS_YAML.test(entry))
    .sort()
    .map((entry) => join(path, entry));
};

/**
 * Reads the files that are named, and all YAML files in folders that are named.
 *
 * @param paths - Files and folders.
 * @returns The files with their text.
 * @throws Where one cannot be read.
 */
export const readFiles = async (paths: readonly string[]): Promise<readonly DeclarationFile[]> => {
  const files = (await Promise.all(paths.map(listFiles))).flat();
  return Promise.all(files.map(async (file) => ({ file, text: await readFile(file, 'utf8') })));
};
