import { assertInvariant } from '../kernel/invariant.js';

/** Typed access to the arguments that the parser has checked. */
export class Arguments {
  private constructor(private readonly values: Readonly<Record<string, unknown>>) {}

  /**
   * Wraps parsed arguments.
   *
   * @param values - arguments by name
   * @returns typed access
   */
  static create(values: Readonly<Record<string, unknown>>): Arguments {
    return new Arguments(values);
  }

  /**
   * Reads a text that the parser demands.
   *
   * @param name - name of the argument
   * @returns the text
   */
  string(name: string): string {
    const value = this.values[name];
    assertInvariant(typeof value === 'string', `argument ${name} is not a text`);
    return value;
  }

  /**
   * Reads an optional text.
   *
   * @param name - name of the argument
   * @returns the text, or undefined when it was not given
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
   * Reads a switch.
   *
   * @param name - name of the argument
   * @returns true when it was given
   */
  flag(name: string): boolean {
    return this.values[name] === true;
  }
}
