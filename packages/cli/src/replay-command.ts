/** `valvelatch replay`: runs a recorded trace against the real decisions, without any entry. */
import { readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import {
  emptyConfiguration,
  readDeclarations,
  readTrace,
  replayTrace,
  applySnapshot,
  type Configuration,
  type ReplayReport,
} from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import { readFiles } from './files.js';

const readConfiguration = async (
  folders: readonly string[],
): Promise<Result<Configuration, string>> => {
  const read = readDeclarations(await readFiles(folders));
  if (read.isErr()) {
    const [fault] = read.error;
    return Err(`${fault?.file ?? ''}: ${fault?.path ?? ''}: ${fault?.reason ?? ''}`);
  }
  return Ok(applySnapshot(emptyConfiguration, { revision: 1, declarations: read.value }));
};

/**
 * Replays a trace from a file.
 *
 * @param file - The file; folders that it names are seen from its own folder.
 * @returns The report, or one line on what cannot be read.
 */
export const replayFile = async (file: string): Promise<Result<ReplayReport, string>> => {
  const trace = readTrace(await readFile(file, 'utf8'));
  if (trace.isErr()) return Err(`${file}: line ${trace.error.line}: ${trace.error.reason}`);
  const folders = trace.value.fleet.declarations.map((folder) => join(dirname(file), folder));
  const configuration = await readConfiguration(folders);
  return configuration.map((known) => replayTrace(trace.value, known));
};

/**
 * Writes a report for people.
 *
 * @param report - The report.
 * @param areDecisionsShown - Whether each decision gets a line.
 * @returns The lines.
 */
export const replayLines = (
  { decisions, held, broken, lastedS }: ReplayReport,
  areDecisionsShown: boolean,
): readonly string[] => [
  ...(areDecisionsShown
    ? decisions.map(({ atMs, subject, reason }) => `${atMs / 1000} s  ${subject}: ${reason}`)
    : []),
  ...broken.map((one) => `BROKEN ${one}`),
  `${lastedS} s replayed, ${decisions.length} decisions, ${held} outcomes held, ${broken.length} broken`,
];
