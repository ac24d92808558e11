/** Straight line fitted to measured points. */
export interface Slope {
  /** Value at x = 0. */
  readonly base: number;
  /** Increase of the value per unit of x. */
  readonly perUnit: number;
}

/**
 * Fits a line to points by least squares; the line is flat when all x are equal.
 *
 * @param points - pairs of x and value
 * @returns the fitted line
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
