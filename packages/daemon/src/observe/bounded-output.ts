/**
 * Lines for the standard output, written together and never waited for. A reader that does not
 * keep up costs lines, not time: what does not fit is counted and told. Each kind of event has room
 * of its own, so that a flood of one (a refusal for each request of a busy second) takes none of the
 * lines that tell of a decision.
 */
import { write, writeSync } from 'node:fs';

const STDOUT = 1;
/** Lines wait this long for others. */
const FLUSH_MS = 100;
/**
 * Above so much text of one event that waits, new lines of it are dropped: some 500 lines of a
 * refused request. 50 kinds of events, all of them too many, keep 6.4 MB.
 */
const MOST_WAITING_CHARACTERS = 128 * 1024;
/**
 * Kinds with a line for each run have more: 4,000 lines, a second of a large fleet, come at once where
 * answers were held up.
 */
const MORE_WAITING_CHARACTERS = 1024 * 1024;
const KINDS_OF_RUNS: ReadonlySet<string> = new Set(['run-ended', 'task-started-again']);

const roomOf = (event: string): number =>
  KINDS_OF_RUNS.has(event) ? MORE_WAITING_CHARACTERS : MOST_WAITING_CHARACTERS;

/**
 * So many bytes are written at once, and whole lines only: collectors that take 8 KB at a time lose the
 * rest of a larger write without a word, and the line that it begins with.
 */
const MOST_AT_ONCE_BYTES = 8192;

/** Writes some bytes; calls back with how many were written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

const toStdout: WriteBytes = (bytes, done) => write(STDOUT, bytes, 0, bytes.length, null, done);

export type BoundedOutputOptions = {
  readonly writeBytes?: WriteBytes;
};

export type BoundedOutput = {
  /**
   * Takes a line.
   *
   * @param text - The line.
   * @param event - The name of its event: lines of one name share their room.
   */
  readonly line: (text: string, event: string) => void;
  /** Writes what waits, at the end of the process. */
  readonly flush: () => void;
};

/** Puts lines together up to `MOST_AT_ONCE_BYTES`; a longer line goes alone. */
const inPieces = (lines: readonly string[]): readonly Buffer[] => {
  const pieces: string[][] = [];
  let bytes = Infinity;
  lines.forEach((line) => {
    const more = Buffer.byteLength(line) + 1;
    bytes += more;
    if (bytes > MOST_AT_ONCE_BYTES) {
      pieces.push([]);
      bytes = more;
    }
    pieces.at(-1)?.push(line);
  });
  return pieces.map((piece) => Buffer.from(`${piece.join('\n')}\n`));
};

/**
 * Opens the output.
 *
 * @param options - Where bytes go; the standard output if left out.
 * @returns The output.
 */
export const createBoundedOutput = ({
  writeBytes = toStdout,
}: BoundedOutputOptions = {}): BoundedOutput => {
  let lines: string[] = [];
  /** Since when the first of them waits. */
  let waitsSinceMs = 0;
  const waiting = new Map<string, number>();
  const dropped = new Map<string, number>();
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const take = (): readonly string[] => {
    const notes = Array.from(
      dropped,
      ([event, count]) => `event=log-lines-dropped of=${event} count=${count}`,
    );
    const taken = [...lines, ...notes];
    lines = [];
    waiting.clear();
    dropped.clear();
    return taken;
  };

  const finish = (): void => {
    isWriting = false;
    if (lines.length > 0) plan();
  };

  const writePieces = ([bytes, ...others]: readonly Buffer[]): void => {
    if (!bytes) {
      finish();
      return;
    }
    writeBytes(bytes, (error, written) => {
      const isFull = error?.code === 'EAGAIN';
      if (error && !isFull) {
        // Without a reader there is nobody to tell; the lines are given up.
        finish();
        return;
      }
      if (written === bytes.length) {
        writePieces(others);
        return;
      }
      const rest = isFull ? bytes : bytes.subarray(written);
      setTimeout(() => writePieces([rest, ...others]), FLUSH_MS);
    });
  };

  const plan = (): void => {
    if (timer || isWriting) return;
    const leftMs = Math.max(0, waitsSinceMs + FLUSH_MS - performance.now());
    timer = setTimeout(() => {
      timer = undefined;
      isWriting = true;
      writePieces(inPieces(take()));
    }, leftMs);
  };

  return {
    line: (text, event) => {
      const characters = waiting.get(event) ?? 0;
      if (characters > roomOf(event)) {
        dropped.set(event, (dropped.get(event) ?? 0) + 1);
        return;
      }
      if (lines.length === 0) waitsSinceMs = performance.now();
      lines.push(text);
      waiting.set(event, characters + text.length);
      plan();
    },
    flush: () => {
      if (lines.length === 0) return;
      try {
        writeSync(STDOUT, `${take().join('\n')}\n`);
      } catch {
        // The reader is gone, and so is the process in a moment.
      }
    },
  };
};
