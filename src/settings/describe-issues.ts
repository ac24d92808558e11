import type { z } from 'zod';

type Issue = z.core.$ZodIssue;

const MAX_SHOWN_CHARS = 80;
const SECRET_FIELD = /token|secret|authorization/i;

/** A validation fault in a JSON file. */
export interface FieldFault {
  /** Dotted path, for example `platform.log.urls.0`; `(file)` for the file as a whole. */
  readonly field: string;
  readonly found: string;
  readonly allowed: string;
}

/**
 * Converts validation issues to faults that state the value found and the values allowed.
 *
 * @param issues - issues from a zod error
 * @param input - the value that was validated
 * @returns one fault for each invalid field, in the order of the issues
 */
export function describeIssues(issues: readonly Issue[], input: unknown): FieldFault[] {
  return issues.flatMap((issue) => describeIssue(issue, input));
}

function describeIssue(issue: Issue, input: unknown): FieldFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      field: formatPath([...issue.path, key]),
      found: 'an unknown field',
      allowed: 'no such field',
    }));
  }
  return [
    {
      field: formatPath(issue.path),
      found: describeFound(issue.path, input),
      allowed: describeAllowed(issue),
    },
  ];
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(file)' : path.map(String).join('.');
}

function readPath(input: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => {
    if (typeof value !== 'object' || value === null) return undefined;
    return (value as Record<PropertyKey, unknown>)[key];
  }, input);
}

/** Omits the values of secret fields, as a file may hold a clear-text token in place of its hash. */
function describeFound(path: readonly PropertyKey[], input: unknown): string {
  const value = readPath(input, path);
  if (value === undefined) return 'nothing';
  if (SECRET_FIELD.test(String(path.at(-1) ?? ''))) return 'a value that is not shown';
  const text = JSON.stringify(value);
  return text.length > MAX_SHOWN_CHARS ? `${text.slice(0, MAX_SHOWN_CHARS)}…` : text;
}

function describeAllowed(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected === 'int' ? 'a whole number' : withArticle(issue.expected);
    case 'invalid_value':
      return `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
    case 'too_small':
      return `${describeQuantity(issue.origin)} ${issue.inclusive ? 'of at least' : 'above'} ${issue.minimum}`;
    case 'too_big':
      return `${describeQuantity(issue.origin)} ${issue.inclusive ? 'of at most' : 'below'} ${issue.maximum}`;
    case 'invalid_format':
      return describeFormat(issue);
    case 'invalid_union':
      return describeUnion(issue);
    default:
      return issue.message;
  }
}

function withArticle(type: string): string {
  return /^[aeiou]/.test(type) ? `an ${type}` : `a ${type}`;
}

function describeQuantity(origin: string): string {
  if (origin === 'array') return 'a list with a count';
  if (origin === 'string') return 'a text with a length';
  return 'a number';
}

function describeFormat(issue: Extract<Issue, { code: 'invalid_format' }>): string {
  if (issue.format === 'url') return 'a URL that starts with "http://"';
  if (issue.format !== 'regex') return `an address of the form ${issue.format}`;
  if (!issue.message.startsWith('Invalid string')) return issue.message;
  return `text that matches ${issue.pattern ?? 'the pattern'}`;
}

function describeUnion(issue: Extract<Issue, { code: 'invalid_union' }>): string {
  if ('options' in issue && Array.isArray(issue.options)) {
    return `one of ${issue.options.map((option) => JSON.stringify(option)).join(', ')}`;
  }
  const allowed = issue.errors.flatMap((branch) => branch.map((inner) => describeAllowed(inner)));
  return [...new Set(allowed)].join(', or ') || issue.message;
}
