/**
 * Buffered, non-blocking output of lines to the standard output. A reader that is too slow causes
 * dropped lines, not delay: lines that exceed the buffer are dropped, counted and reported. Each event
 * name has its own buffer limit, so that a burst of one event (for example a refusal for each request
 * of a busy second) doesn't displace the lines that report decisions.
 */
import { write, writeSync } from 'node:fs';

const STDOUT = 1;
/** How long lines are buffered so that they are written together. */
const FLUSH_MS = 100;
/**
 * The buffer limit of one event name, enough for some 500 lines of refused requests. If the buffer
 * holds more, new lines of that event are dropped. 50 event names that are all at their limit hold
 * 6.4 MB.
 */
const MAX_BUFFERED_CHARACTERS = 128 * 1024;
/**
 * The buffer limit of events with a line for each run. When delayed responses arrive together, they
 * cause 4,000 such lines at once, as many as a large fleet produces in a second.
 */
const MAX_BUFFERED_RUN_CHARACTERS = 1024 * 1024;
const RUN_EVENTS: ReadonlySet<string> = new Set(['run-ended', 'task-started-again']);

const bufferLimitOf = (event: string): number =>
  RUN_EVENTS.has(event) ? MAX_BUFFERED_RUN_CHARACTERS : MAX_BUFFERED_CHARACTERS;

/**
 * The maximum size of one write, which always consists of whole lines. Log collectors that read 8 KB
 * at a time silently lose the remainder of a larger write, including the line that is cut at the limit.
 */
const MAX_WRITE_BYTES = 8192;

/** Writes bytes and calls back with the number of bytes that were written. */
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
   * Buffers a line, or drops it if the buffer of its event is full.
   *
   * @param text - The line, without a line break.
   * @param event - The name of its event; lines with the same name share a buffer limit.
   */
  readonly writeLine: (text: string, event: string) => void;
  /** Writes the buffered lines synchronously, at the end of the process. */
  readonly flush: () => void;
};

/** Joins lines into writes of up to `MAX_WRITE_BYTES`; a longer line gets a write of its own. */
const joinIntoWrites = (lines: readonly string[]): readonly Buffer[] => {
  const pieces: string[][] = [];
  let bytes = Infinity;
  lines.forEach((line) => {
    const more = Buffer.byteLength(line) + 1;
    bytes += more;
    if (bytes > MAX_WRITE_BYTES) {
      pieces.push([]);
      bytes = more;
    }
    pieces.at(-1)?.push(line);
  });
  return pieces.map((piece) => Buffer.from(`${piece.join('\n')}\n`));
};

/**
 * Creates the output.
 *
 * @param options - The function that writes bytes; it defaults to the standard output.
 * @returns The output.
 */
export const createBoundedOutput = ({
  writeBytes = toStdout,
}: BoundedOutputOptions = {}): BoundedOutput => {
  let lines: string[] = [];
  /** When the first buffered line was added. */
  let bufferedSinceMs = 0;
  const bufferedCharacters = new Map<string, number>();
  const droppedCounts = new Map<string, number>();
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;

  const takeBufferedLines = (): readonly string[] => {
    const notes = Array.from(
      droppedCounts,
      ([event, count]) => `event=log-lines-dropped of=${event} count=${count}`,
    );
    const taken = [...lines, ...notes];
    lines = [];
    bufferedCharacters.clear();
    droppedCounts.clear();
    return taken;
  };

  const finishWriting = (): void => {
    isWriting = false;
    if (lines.length > 0) scheduleWrite();
  };

  const writeBuffers = ([bytes, ...others]: readonly Buffer[]): void => {
    if (!bytes) {
      finishWriting();
      return;
    }
    writeBytes(bytes, (error, written) => {
      const isFull = error?.code === 'EAGAIN';
      if (error && !isFull) {
        // The reader is gone, so the error can't be reported either; the lines are discarded.
        finishWriting();
        return;
      }
      if (written === bytes.length) {
        writeBuffers(others);
        return;
      }
      const rest = isFull ? bytes : bytes.subarray(written);
      setTimeout(() => writeBuffers([rest, ...others]), FLUSH_MS);
    });
  };

  const scheduleWrite = (): void => {
    if (timer || isWriting) return;
    const leftMs = Math.max(0, bufferedSinceMs + FLUSH_MS - performance.now());
    timer = setTimeout(() => {
      timer = undefined;
      isWriting = true;
      writeBuffers(joinIntoWrites(takeBufferedLines()));
    }, leftMs);
  };

  return {
    writeLine: (text, event) => {
      const characters = bufferedCharacters.get(event) ?? 0;
      if (characters > bufferLimitOf(event)) {
        droppedCounts.set(event, (droppedCounts.get(event) ?? 0) + 1);
        return;
      }
      if (lines.length === 0) bufferedSinceMs = performance.now();
      lines.push(text);
      bufferedCharacters.set(event, characters + text.length);
      scheduleWrite();
    },
    flush: () => {
      if (lines.length === 0) return;
      try {
        writeSync(STDOUT, `${takeBufferedLines().join('\n')}\n`);
      } catch {
        // The reader is gone and the process is about to exit.
      }
    },
  };
};
