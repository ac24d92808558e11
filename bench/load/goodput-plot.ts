/** One line of the plot. */
export interface PlotLine {
  readonly name: string;
  /** Load and goodput as shares of the pool's capacity. */
  readonly points: readonly { readonly load: number; readonly goodput: number }[];
}

const WIDTH = 640;
const HEIGHT = 400;
const MARGIN = 56;
/** Upper end of both axes, as a share of the capacity. */
const AXIS_MAX = 1.4;
const COLOURS = ['#1b6ca8', '#c0392b', '#2e8b57', '#8e44ad', '#b8860b', '#555555'];
const TICKS = [0, 0.25, 0.5, 0.75, 1, 1.25];

/**
 * Plots goodput against load.
 *
 * @param lines - one line for each deployment and preset
 * @returns an SVG document
 */
export function drawGoodput(lines: readonly PlotLine[]): string {
  const axes = TICKS.flatMap((tick) => [
    `<text x="${scaleX(tick)}" y="${HEIGHT - MARGIN + 18}" text-anchor="middle">${tick}</text>`,
    `<text x="${MARGIN - 8}" y="${scaleY(tick) + 4}" text-anchor="end">${tick}</text>`,
    `<path d="M${MARGIN} ${scaleY(tick)}H${WIDTH - MARGIN}" stroke="#dddddd"/>`,
  ]);
  const lineElements = lines.flatMap((line, index) => drawLine(line, index));
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}"`,
    ' font-family="sans-serif" font-size="12">',
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="#ffffff"/>`,
    ...axes,
    ...lineElements,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 12}" text-anchor="middle">`,
    'load inside the rates ÷ capacity</text>',
    `<text x="16" y="${HEIGHT / 2}" text-anchor="middle"`,
    ` transform="rotate(-90 16 ${HEIGHT / 2})">goodput ÷ capacity</text>`,
    '</svg>\n',
  ].join('\n');
}

function drawLine({ name, points }: PlotLine, index: number): string[] {
  const colour = COLOURS[index % COLOURS.length] ?? '#000000';
  const coordinates = points.map(({ load, goodput }) => `${scaleX(load)},${scaleY(goodput)}`);
  return [
    `<polyline points="${coordinates.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>`,
    `<text x="${MARGIN + 12}" y="${MARGIN + 16 * index}" fill="${colour}">${name}</text>`,
  ];
}

function scaleX(value: number): number {
  return Math.round(MARGIN + (value / AXIS_MAX) * (WIDTH - 2 * MARGIN));
}

function scaleY(value: number): number {
  return Math.round(HEIGHT - MARGIN - (value / AXIS_MAX) * (HEIGHT - 2 * MARGIN));
}
