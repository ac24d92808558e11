import { assertInvariant } from '../kernel/invariant.js';

/** Typed access to the validated command-line arguments. */
export class Arguments {
  private constructor(private readonly values: Readonly<Record<string, unknown>>) {}

  /**
   * Wraps parsed arguments.
   *
   * @param values - arguments by name
   * @returns an object for typed access
   */
  static create(values: Readonly<Record<string, unknown>>): Arguments {
    return new Arguments(values);
  }

  /**
   * Reads a required string; the parser guarantees that it is there.
   *
   * @param name - name of the argument
   * @returns the string
   */
  string(name: string): string {
    const value = this.values[name];
    assertInvariant(typeof value === 'string', `argument ${name} is not a string`);
    return value;
  }

  /**
   * Reads an optional string.
   *
   * @param name - name of the argument
   * @returns the string, or undefined when it was not given
   */
  optionalString(name: string): string | undefined {
    const value = this.values[name];
    return typeof value === 'string' ? value : undefined;
  }

  /**
   * Reads an optional number.
   *
   * @param name - name of the argument
   * @returns the number, or undefined when it was not given
   */
  number(name: string): number | undefined {
    const value = this.values[name];
    return typeof value === 'number' ? value : undefined;
  }

  /**
   * Reads a boolean flag.
   *
   * @param name - name of the argument
   * @returns true when it was set
   */
  flag(name: string): boolean {
    return this.values[name] === true;
  }
}
