/**
 * Parses label selectors. The grammar that operators write:
 * `a=b`, `a==b`, `a!=b`, `a in (b,c)`, `a notin (b,c)`, `a`, `!a`, separated by commas.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import type { Requirement, Selector } from './selector.js';

/** A syntax error in a selector, with its position in the text. */
export type SelectorError = {
  readonly text: string;
  /** The zero-based offset of the first unexpected character. */
  readonly position: number;
  readonly message: string;
};

type Token = {
  readonly kind: 'word' | 'symbol' | 'end';
  readonly text: string;
  readonly position: number;
};

const TOKEN = /\s*(?:([A-Za-z0-9_./-]+)|(==|!=|[=!(),])|(\S))/gy;
const KEY = /^[A-Za-z0-9]([A-Za-z0-9_./-]{0,251}[A-Za-z0-9])?$/;
const VALUE = /^[A-Za-z0-9]([A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?$/;

class SelectorSyntaxError extends Error {
  readonly position: number;

  constructor(position: number, message: string) {
    super(message);
    this.position = position;
  }
}

const tokenize = (text: string): readonly Token[] => {
  const tokens = Array.from(text.matchAll(TOKEN), (match): Token => {
    const [whole, word, symbol, stray] = match;
    const matched = word ?? symbol ?? stray ?? '';
    const position = match.index + whole.length - matched.length;
    if (stray !== undefined) throw new SelectorSyntaxError(position, `unexpected '${stray}'`);
    return { kind: word === undefined ? 'symbol' : 'word', text: matched, position };
  });
  return [...tokens, { kind: 'end', text: 'the end', position: text.length }];
};

const describeToken = (token: Token): string =>
  token.kind === 'end' ? 'the end' : `'${token.text}'`;

type TokenReader = {
  readonly peek: () => Token;
  readonly next: () => Token;
};

const createTokenReader = (tokens: readonly Token[]): TokenReader => {
  let index = 0;
  const peek = () => tokens[Math.min(index, tokens.length - 1)] as Token;
  return {
    peek,
    next: () => {
      const token = peek();
      index += 1;
      return token;
    },
  };
};

const readKey = (reader: TokenReader): string => {
  const token = reader.next();
  if (token.kind !== 'word' || !KEY.test(token.text)) {
    throw new SelectorSyntaxError(
      token.position,
      `expected a label name, found ${describeToken(token)}`,
    );
  }
  return token.text;
};

const readValue = (reader: TokenReader): string => {
  const token = reader.next();
  if (token.kind !== 'word' || !VALUE.test(token.text)) {
    throw new SelectorSyntaxError(
      token.position,
      `expected a label value, found ${describeToken(token)}`,
    );
  }
  return token.text;
};

const expectSymbol = (reader: TokenReader, symbol: string): void => {
  const token = reader.next();
  if (token.kind === 'symbol' && token.text === symbol) return;
  throw new SelectorSyntaxError(
    token.position,
    `expected '${symbol}', found ${describeToken(token)}`,
  );
};

const readValueSet = (reader: TokenReader): readonly string[] => {
  expectSymbol(reader, '(');
  const values = [readValue(reader)];
  while (reader.peek().text === ',') {
    reader.next();
    values.push(readValue(reader));
  }
  expectSymbol(reader, ')');
  return values;
};

type OperatorReader = (key: string, reader: TokenReader) => Requirement;

const readEqual: OperatorReader = (key, reader) => ({
  operator: 'in',
  key,
  values: [readValue(reader)],
});

const operatorReaders: Readonly<Record<string, OperatorReader>> = {
  '=': readEqual,
  '==': readEqual,
  '!=': (key, reader) => ({ operator: 'not-in', key, values: [readValue(reader)] }),
  in: (key, reader) => ({ operator: 'in', key, values: readValueSet(reader) }),
  notin: (key, reader) => ({ operator: 'not-in', key, values: readValueSet(reader) }),
};

const endsRequirement = (token: Token): boolean => token.kind === 'end' || token.text === ',';

const readRequirement = (reader: TokenReader): Requirement => {
  if (reader.peek().text === '!') {
    reader.next();
    return { operator: 'does-not-exist', key: readKey(reader) };
  }
  const key = readKey(reader);
  if (endsRequirement(reader.peek())) return { operator: 'exists', key };
  const operator = reader.next();
  const readOperator = Object.hasOwn(operatorReaders, operator.text)
    ? operatorReaders[operator.text]
    : undefined;
  if (!readOperator) {
    throw new SelectorSyntaxError(
      operator.position,
      `expected one of = == != in notin, found ${describeToken(operator)}`,
    );
  }
  return readOperator(key, reader);
};

const readSelector = (text: string): Selector => {
  if (text.trim() === '') return { text, requirements: [] };
  const reader = createTokenReader(tokenize(text));
  const requirements = [readRequirement(reader)];
  while (reader.peek().kind !== 'end') {
    expectSymbol(reader, ',');
    requirements.push(readRequirement(reader));
  }
  return { text, requirements };
};

/**
 * Parses a selector. An empty text selects everything.
 *
 * @param text - The selector as the operator wrote it.
 * @returns The selector, or the position and message of the first syntax error.
 */
export const parseSelector = (text: string): Result<Selector, SelectorError> => {
  try {
    return Ok(readSelector(text));
  } catch (error) {
    if (!(error instanceof SelectorSyntaxError)) throw error;
    return Err({ text, position: error.position, message: error.message });
  }
};
