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
  const waiting = new Map<string, number>();
  const dropped = new Map<string, number>();
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const take = (): string => {
    const notes = Array.from(
      dropped,
      ([event, count]) => `event=log-lines-dropped of=${event} count=${count}`,
    );
    const text = `${[...lines, ...notes].join('\n')}\n`;
    lines = [];
    waiting.clear();
    dropped.clear();
    return text;
  };

  const writeRest = (bytes: Buffer): void => {
    writeBytes(bytes, (error, written) => {
      const isFull = error?.code === 'EAGAIN';
      // Without a reader there is nobody to tell; the lines are given up.
      if ((error && !isFull) || written === bytes.length) {
        isWriting = false;
        if (lines.length > 0) plan();
        return;
      }
      const rest = isFull ? bytes : bytes.subarray(written);
      setTimeout(() => writeRest(rest), FLUSH_MS);
    });
  };

  const plan = (): void => {
    if (timer || isWriting) return;
    timer = setTimeout(() => {
      timer = undefined;
      isWriting = true;
      writeRest(Buffer.from(take()));
    }, FLUSH_MS);
  };

  return {
    line: (text, event) => {
      const characters = waiting.get(event) ?? 0;
      if (characters > MOST_WAITING_CHARACTERS) {
        dropped.set(event, (dropped.get(event) ?? 0) + 1);
        return;
      }
      lines.push(text);
      waiting.set(event, characters + text.length);
      plan();
    },
    flush: () => {
      if (lines.length === 0) return;
      try {
        writeSync(STDOUT, take());
      } catch {
        // The reader is gone, and so is the process in a moment.
      }
    },
  };
};
