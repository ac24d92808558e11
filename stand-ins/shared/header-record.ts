import type { IncomingHttpHeaders } from 'node:http';

/** Most values kept for one header; tracing headers differ in every request. */
const VALUES_PER_HEADER = 10_000;

/** Distinct values of one request header. */
export interface SeenHeader {
  readonly name: string;
  readonly values: readonly string[];
}

/** Records which request headers and values a stand-in has received. */
export class HeaderRecord {
  private readonly seen = new Map<string, Set<string>>();

  /**
   * Creates an empty record.
   *
   * @returns a new record
   */
  static create(): HeaderRecord {
    return new HeaderRecord();
  }

  /**
   * Records the headers of a request.
   *
   * @param headers - headers by lower-case name
   */
  add(headers: IncomingHttpHeaders): void {
    for (const [name, value] of Object.entries(headers)) {
      const values = this.seen.get(name) ?? new Set();
      this.seen.set(name, values);
      if (values.size < VALUES_PER_HEADER) [value ?? ''].flat().forEach((one) => values.add(one));
    }
  }

  /**
   * Lists what was seen.
   *
   * @returns the headers in the order of their first use
   */
  list(): SeenHeader[] {
    return [...this.seen].map(([name, values]) => ({ name, values: [...values] }));
  }
}
