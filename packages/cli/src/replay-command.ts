/** `valvelatch replay`: replays a recorded trace with the real decision code, without an entry. */
import { readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import {
  emptyConfiguration,
  parseDeclarations,
  parseTrace,
  replayTrace,
  applySnapshot,
  type Configuration,
  type ReplayReport,
} from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import { readDeclarationFiles } from './declaration-files.js';

const readConfiguration = async (
  folders: readonly string[],
): Promise<Result<Configuration, string>> => {
  const declarations = parseDeclarations(await readDeclarationFiles(folders));
  if (declarations.isErr()) {
    const [fault] = declarations.error;
    return Err(`${fault?.file ?? ''}: ${fault?.path ?? ''}: ${fault?.reason ?? ''}`);
  }
  return Ok(applySnapshot(emptyConfiguration, { revision: 1, declarations: declarations.value }));
};

/**
 * Replays a trace from a file.
 *
 * @param file - The trace file; the folders that it names are relative to its own folder.
 * @returns The report, or one line that says what is invalid in the trace or the declarations.
 * @throws When a file cannot be read.
 */
export const replayFile = async (file: string): Promise<Result<ReplayReport, string>> => {
  const trace = parseTrace(await readFile(file, 'utf8'));
  if (trace.isErr()) return Err(`${file}: line ${trace.error.line}: ${trace.error.reason}`);
  const folders = trace.value.fleet.declarations.map((folder) => join(dirname(file), folder));
  const configuration = await readConfiguration(folders);
  return configuration.map((snapshot) => replayTrace(trace.value, snapshot));
};

/**
 * Formats a report as lines for people.
 *
 * @param report - The report.
 * @param areDecisionsShown - Whether to include a line for each decision.
 * @returns The lines.
 */
export const formatReplayReport = (
  { decisions, held, broken, lastedS }: ReplayReport,
  areDecisionsShown: boolean,
): readonly string[] => [
  ...(areDecisionsShown
    ? decisions.map(({ atMs, subject, reason }) => `${atMs / 1000} s  ${subject}: ${reason}`)
    : []),
  ...broken.map((outcome) => `BROKEN ${outcome}`),
  `${lastedS} s replayed, ${decisions.length} decisions, ${held} outcomes held, ${broken.length} broken`,
];
