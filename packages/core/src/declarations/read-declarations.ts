/** Reads declarations from YAML text and reports each error with its file, location and reason. */
import { Err, Ok, type Result } from 'ts-results-es';
import { parseAllDocuments, type Document } from 'yaml';
import type { z } from 'zod';

import { checkReferences } from './check-references.js';
import {
  declarationKey,
  declarationSchema,
  jobDeclarationSchema,
  type Declaration,
  type JobDeclaration,
} from './schema.js';

/** An error in a declaration. */
export type DeclarationError = {
  readonly file: string;
  /** The location in the file, for example `document 2: spec.cores`. */
  readonly path: string;
  readonly reason: string;
};

/** A file with declarations, as text. */
export type DeclarationFile = { readonly file: string; readonly text: string };

type Located<Value> = { readonly value: Value; readonly file: string; readonly path: string };

const isPresent = (document: Document.Parsed): boolean => document.contents !== null;

const readDocuments = (
  { file, text }: DeclarationFile,
  faults: DeclarationError[],
): readonly Located<unknown>[] => {
  const documents = parseAllDocuments(text, { maxAliasCount: 0 } as object);
  return Array.from(documents as Iterable<Document.Parsed>).flatMap((document, index) => {
    const path = `document ${index + 1}`;
    const [fault] = document.errors;
    if (fault) {
      faults.push({ file, path, reason: fault.message.split('\n')[0] ?? 'unreadable YAML' });
      return [];
    }
    return isPresent(document) ? [{ value: document.toJS() as unknown, file, path }] : [];
  });
};

const toFaults = (
  error: z.ZodError,
  { file, path }: Located<unknown>,
): readonly DeclarationError[] =>
  error.issues.map((issue) => ({
    file,
    path: issue.path.length > 0 ? `${path}: ${issue.path.join('.')}` : path,
    reason: issue.message,
  }));

const parseEach = <Value>(
  schema: z.ZodType<Value>,
  files: readonly DeclarationFile[],
  faults: DeclarationError[],
): readonly Located<Value>[] =>
  files
    .flatMap((file) => readDocuments(file, faults))
    .flatMap((located) => {
      const parsed = schema.safeParse(located.value);
      if (parsed.success) return [{ ...located, value: parsed.data }];
      faults.push(...toFaults(parsed.error, located));
      return [];
    });

const findDuplicates = (declarations: readonly Located<Declaration>[]): DeclarationError[] => {
  const seen = new Set<string>();
  return declarations.flatMap(({ value, file, path }) => {
    const key = declarationKey(value);
    if (seen.has(key)) return [{ file, path, reason: `${key} is declared twice` }];
    seen.add(key);
    return [];
  });
};

const locateReferenceFaults = (declarations: readonly Located<Declaration>[]): DeclarationError[] =>
  checkReferences(declarations.map(({ value }) => value)).map((fault) => {
    const located = declarations.find(({ value }) => declarationKey(value) === fault.key);
    return {
      file: located?.file ?? '',
      path: `${located?.path ?? ''}: ${fault.path}`,
      reason: fault.reason,
    };
  });

/**
 * Reads a complete set of declarations. A single error rejects the whole set. References between
 * declarations are checked only if there is no other error.
 *
 * @param files - The files, as text.
 * @returns The declarations, or every error that was found.
 */
export const parseDeclarations = (
  files: readonly DeclarationFile[],
): Result<readonly Declaration[], readonly DeclarationError[]> => {
  const faults: DeclarationError[] = [];
  const declarations = parseEach(declarationSchema, files, faults);
  faults.push(...findDuplicates(declarations));
  if (faults.length === 0) faults.push(...locateReferenceFaults(declarations));
  return faults.length > 0 ? Err(faults) : Ok(declarations.map(({ value }) => value));
};

/**
 * Reads job declarations. A single error rejects all of them.
 *
 * @param files - The files, as text.
 * @returns The jobs, or every error that was found.
 */
export const parseJobs = (
  files: readonly DeclarationFile[],
): Result<readonly JobDeclaration[], readonly DeclarationError[]> => {
  const faults: DeclarationError[] = [];
  const jobs = parseEach(jobDeclarationSchema, files, faults);
  return faults.length > 0 ? Err(faults) : Ok(jobs.map(({ value }) => value));
};
