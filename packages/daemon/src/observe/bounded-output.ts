/**
 * Lines for the standard output, written together and never waited for. A reader that does not
 * keep up costs lines, not time: what does not fit is counted and told.
 */
import { write, writeSync } from 'node:fs';

const STDOUT = 1;
/** Lines wait this long for others. */
const FLUSH_MS = 100;
/** Above so much text that waits, new lines are dropped. */
const MOST_WAITING_CHARACTERS = 512 * 1024;

export type BoundedOutput = {
  readonly line: (text: string) => void;
  /** Writes what waits, at the end of the process. */
  readonly flush: () => void;
};

/**
 * Opens the output.
 *
 * @returns The output.
 */
export const createBoundedOutput = (): BoundedOutput => {
  let lines: string[] = [];
  let characters = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const take = (): string => {
    if (dropped > 0) lines.push(`event=log-lines-dropped count=${dropped}`);
    const text = `${lines.join('\n')}\n`;
    lines = [];
    characters = 0;
    dropped = 0;
    return text;
  };

  const writeRest = (bytes: Buffer): void => {
    write(STDOUT, bytes, 0, bytes.length, null, (error, written) => {
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
    line: (text) => {
      if (characters > MOST_WAITING_CHARACTERS) {
        dropped += 1;
        return;
      }
      lines.push(text);
      characters += text.length;
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
