import type { FieldFault } from './describe-issues.js';

/** A JSON file that cannot be used, with all of its faults. */
export class FileFailure extends Error {
  override readonly name = 'FileFailure';

  private constructor(
    readonly file: string,
    readonly faults: readonly FieldFault[],
    message: string,
  ) {
    super(message);
  }

  /**
   * Creates a failure with one line for each fault.
   *
   * @param file - the file as the operator named it
   * @param faults - what is wrong with it, at least one fault
   * @returns a new failure
   */
  static create(file: string, faults: readonly FieldFault[]): FileFailure {
    const lines = faults.map(
      ({ field, found, allowed }) => `${file}: ${field}: found ${found}; allowed is ${allowed}`,
    );
    return new FileFailure(file, faults, lines.join('\n'));
  }
}
