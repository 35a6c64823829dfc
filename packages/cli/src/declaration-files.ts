/** Finds and reads declaration files. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { join } from 'node:path';

import type { DeclarationFile } from '@valvelatch/core';

const YAML_FILE_NAME = /\.ya?ml$/;

const listFiles = async (path: string): Promise<readonly string[]> => {
  if (!(await stat(path)).isDirectory()) return [path];
  const entries = await readdir(path, { recursive: true });
  return entries
    .filter((entry) => YAML_FILE_NAME.test(entry))
    .sort()
    .map((entry) => join(path, entry));
};

/**
 * Reads the given files and, recursively, all YAML files in the given folders.
 *
 * @param paths - Files and folders.
 * @returns The path and text of each file; those of a folder are sorted by path.
 * @throws When a file or folder cannot be read.
 */
export const readDeclarationFiles = async (
  paths: readonly string[],
): Promise<readonly DeclarationFile[]> => {
  const files = (await Promise.all(paths.map(listFiles))).flat();
  return Promise.all(files.map(async (file) => ({ file, text: await readFile(file, 'utf8') })));
};
