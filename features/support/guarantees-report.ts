/** The part of a Cucumber world that attaches text to the report. */
export interface Reporter {
  readonly log: (text: string) => void;
}

/**
 * Prints a measured figure and adds it to the report of the run.
 *
 * @param world - world of the scenario
 * @param text - the figure with its unit
 */
export function reportFigure(world: Reporter, text: string): void {
  world.log(text);
  process.stdout.write(`    ${text}\n`);
}
