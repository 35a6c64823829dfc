/** Starting and stopping the processes of a small deployment on the loopback address. */
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const START_TIMEOUT_MS = 15_000;
const LISTENING = 'event=listening';

/** Programs of the workspace, by name. */
const programs = {
  entry: `${root}packages/daemon/bin/valvelatchd.js`,
  standIn: `${root}packages/stand-ins/bin/stand-in.js`,
  cli: `${root}packages/cli/bin/valvelatch.js`,
};

const fieldsOf = (line) =>
  Object.fromEntries(
    line
      .split(' ')
      .map((pair) => pair.split(/=(.*)/s))
      .filter(([key]) => key !== ''),
  );

/**
 * Starts a program and waits until it says that it listens.
 *
 * @param {keyof typeof programs} program - Its name.
 * @param {readonly string[]} args - Its arguments.
 * @returns The process, and the fields of its line about listening.
 */
export const startProcess = (program, args) =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [programs[program], ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const recent = [];
    const note = (line) => {
      recent.push(line);
      if (recent.length > 200) recent.shift();
    };
    const fail = (why) => reject(new Error(`${program} ${why}\n${recent.slice(-5).join('\n')}`));
    const timer = setTimeout(() => fail('did not start in time'), START_TIMEOUT_MS);
    const ended = new Promise((done) => {
      child.once('exit', (code, signal) => {
        clearTimeout(timer);
        fail(`ended with ${code ?? signal}`);
        done(code ?? signal);
      });
    });
    createInterface({ input: child.stderr }).on('line', note);
    createInterface({ input: child.stdout }).on('line', (line) => {
      note(line);
      if (!line.includes(LISTENING)) return;
      clearTimeout(timer);
      resolve({
        name: `${program} ${args[1] ?? ''}`,
        child,
        ended,
        recent,
        fields: fieldsOf(line),
      });
    });
  });

/**
 * Stops a process as planned.
 *
 * @param running - The process.
 * @returns Its exit code, or the signal that ended it.
 */
export const stopProcess = async (running) => {
  running.child.kill('SIGTERM');
  return running.ended;
};

/**
 * Runs the command line.
 *
 * @param {readonly string[]} args - Its arguments.
 * @param {Record<string, string>} environment - Variables to add.
 * @returns The exit code and what was printed.
 */
export const runCli = (args, environment) =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [programs.cli, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk) => {
      stdout += chunk;
    });
    child.stderr.on('data', (chunk) => {
      stderr += chunk;
    });
    child.once('exit', (code) => resolve({ code, stdout, stderr }));
  });
