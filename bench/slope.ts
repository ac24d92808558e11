/** A straight line through measured points. */
export interface Slope {
  /** Value at x = 0. */
  readonly base: number;
  /** Growth of the value per unit of x. */
  readonly perUnit: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of x and value
 * @returns the line
 */
export function fitSlope(points: readonly (readonly [number, number])[]): Slope {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(([x]) => (x - meanX) ** 2));
  const perUnit = variance === 0 ? 0 : covariance / variance;
  return { base: meanY - perUnit * meanX, perUnit };
}
