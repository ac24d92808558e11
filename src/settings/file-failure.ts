import type { FieldFault } from './describe-issues.js';

/** Error for a JSON file that is unreadable or invalid; lists all of its faults. */
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
   * @param file - path of the file as the operator gave it
   * @param faults - faults of the file, at least one
   * @returns a new failure
   */
  static create(file: string, faults: readonly FieldFault[]): FileFailure {
    const lines = faults.map(
      ({ field, found, allowed }) => `${file}: ${field}: found ${found}; allowed is ${allowed}`,
    );
    return new FileFailure(file, faults, lines.join('\n'));
  }
}
