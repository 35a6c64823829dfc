/** Starts and stops the programs of the workspace as processes on the loopback address. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const PACKAGES = new URL('../../', import.meta.url);
const START_TIMEOUT_MS = 15_000;
const LISTENING = 'event=listening';
const MAX_KEPT_LINES = 200;
const MAX_SHOWN_LINES = 5;

const programs = {
  entry: 'daemon/bin/valvelatchd.js',
  standIn: 'stand-ins/bin/stand-in.js',
  cli: 'cli/bin/valvelatch.js',
  bareForward: 'bench/bin/bare-forward.js',
} as const;

/** A process that has reported that it listens. */
export type RunningProcess = {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or with the signal that ended it. */
  readonly exited: Promise<number | string>;
  /** The last lines of its standard output and standard error. */
  readonly recentLines: readonly string[];
  /** The `name=value` fields of the line in which it reported that it listens. */
  readonly fields: Readonly<Record<string, string>>;
};

/** The exit code and the output of a run of the command line. */
export type CliResult = {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
};

const pathOf = (program: keyof typeof programs): string =>
  fileURLToPath(new URL(programs[program], PACKAGES));

const fieldsOf = (line: string): Record<string, string> =>
  Object.fromEntries(
    line
      .split(' ')
      .filter((pair) => pair.includes('='))
      .map((pair) => [pair.slice(0, pair.indexOf('=')), pair.slice(pair.indexOf('=') + 1)]),
  );

/**
 * Starts a program and waits until it reports that it listens.
 *
 * @param program - The program.
 * @param args - Its arguments.
 * @returns The running process; rejects if it exits or does not listen within 15 seconds.
 */
export const startProcess = (
  program: keyof typeof programs,
  args: readonly string[],
): Promise<RunningProcess> =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [pathOf(program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const recentLines: string[] = [];
    const recordLine = (line: string): void => {
      recentLines.push(line);
      if (recentLines.length > MAX_KEPT_LINES) recentLines.shift();
    };
    const fail = (reason: string): void =>
      reject(new Error(`${program} ${reason}\n${recentLines.slice(-MAX_SHOWN_LINES).join('\n')}`));
    const timer = setTimeout(() => fail('did not start in time'), START_TIMEOUT_MS);
    const exited = new Promise<number | string>((resolveEnded) => {
      child.once('exit', (code, signal) => {
        clearTimeout(timer);
        fail(`ended with ${code ?? signal}`);
        resolveEnded(code ?? signal ?? 'unknown');
      });
    });
    createInterface({ input: child.stderr }).on('line', recordLine);
    createInterface({ input: child.stdout }).on('line', (line) => {
      recordLine(line);
      if (!line.includes(LISTENING)) return;
      clearTimeout(timer);
      const name = `${program} ${args[0] ?? ''}`;
      resolve({ name, child, exited, recentLines, fields: fieldsOf(line) });
    });
  });

/**
 * Stops a process with SIGTERM.
 *
 * @param running - The process.
 * @returns Its exit code, or the signal that ended it.
 */
export const stopProcess = async (running: RunningProcess): Promise<number | string> => {
  running.child.kill('SIGTERM');
  return running.exited;
};

/**
 * Runs the command line.
 *
 * @param args - Its arguments.
 * @param environment - Environment variables to add to those of this process.
 * @returns The exit code and the output.
 */
export const runCli = (
  args: readonly string[],
  environment: Readonly<Record<string, string>>,
): Promise<CliResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [pathOf('cli'), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      stderr += chunk.toString();
    });
    child.once('close', (code) => resolve({ code, stdout, stderr }));
  });
