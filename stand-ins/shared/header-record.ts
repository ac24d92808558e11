import type { IncomingHttpHeaders } from 'node:http';

/** Limits the memory of headers that differ in every request, such as tracing headers. */
const MAX_VALUES_PER_HEADER = 10_000;

/** Distinct values of one request header. */
export interface RecordedHeader {
  readonly name: string;
  readonly values: readonly string[];
}

/** Records which request headers and values a stand-in has received. */
export class HeaderRecord {
  private readonly valuesByName = new Map<string, Set<string>>();

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
      const values = this.valuesByName.get(name) ?? new Set();
      this.valuesByName.set(name, values);
      if (values.size < MAX_VALUES_PER_HEADER)
        [value ?? ''].flat().forEach((item) => values.add(item));
    }
  }

  /**
   * Lists the recorded headers.
   *
   * @returns the headers in the order in which they first occurred
   */
  list(): RecordedHeader[] {
    return [...this.valuesByName].map(([name, values]) => ({ name, values: [...values] }));
  }
}
