import { connect, type Socket } from 'node:net';

/** Longest time from an event to the leaving that it causes, in milliseconds. */
const MAX_DELAY_MS = 6;

/** Number of different delays; the callers go through them in turn. */
const DELAYS = 25;

/** Time without data that counts as a pause of an answer, in milliseconds. */
const PAUSE_MS = 20;

/** Callers that are connected at the same time. */
const CALLERS_AT_ONCE = 20;

/** Time after which a caller gives up, in milliseconds. */
const TIMEOUT_MS = 9000;

const BODY_BYTES = 1000;

/** Not that of the listeners, whose free ports a connection from it could take. */
const LOCAL_ADDRESS = '127.0.0.9';

/** What a caller did and saw. */
interface Call {
  readonly id: string;
  /** Milliseconds since the Unix epoch. */
  leftAtMs: number;
  end: 'closed' | 'reset';
  bodyBytes: number;
}

const [port, way = '', count] = process.argv.slice(2);

const leave: Readonly<Record<string, (socket: Socket) => void>> = {
  resets: (socket) => socket.resetAndDestroy(),
  closes: (socket) => socket.destroy(),
  'half-closes': (socket) => socket.end(),
  'sends part of a request': (socket) =>
    socket.write(
      'POST /x HTTP/1.1\r\nHost: plans.example\r\nAttempt-Id: z\r\nContent-Length: 9\r\n\r\nb',
    ),
  'sends part of a head': (socket) => socket.write('GET /y HT'),
  'sends no HTTP': (socket) => socket.write('\x00 no HTTP\r\n\r\n'),
};

function makeCall(index: number): Promise<Call> {
  const [verb = '', moment] = way.split(/ (?:after|within|in a pause of) its /);
  const call: Call = { id: `c${index}`, leftAtMs: 0, end: 'closed', bodyBytes: 0 };
  const inPause = way.includes('pause');
  const delayMs = ((index % DELAYS) * MAX_DELAY_MS) / DELAYS + (inPause ? PAUSE_MS : 0);
  const socket = connect({
    port: Number(port),
    host: '127.0.0.1',
    localAddress: LOCAL_ADDRESS,
    allowHalfOpen: true,
  });
  let timer: NodeJS.Timeout | undefined;
  const leaveSoon = () => {
    timer = setTimeout(() => {
      call.leftAtMs = Date.now();
      leave[verb]?.(socket);
    }, delayMs);
  };
  const lines = ['POST /x HTTP/1.1', 'Host: plans.example', `Attempt-Id: ${call.id}`];
  lines.push(`Content-Length: ${BODY_BYTES}`, '', '');
  const sent = moment === 'body' ? BODY_BYTES / 2 : BODY_BYTES;
  socket.write(lines.join('\r\n') + 'b'.repeat(sent));
  if (moment !== 'answer') socket.once('connect', leaveSoon);
  else socket.once('data', leaveSoon);
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
    if (inPause && call.leftAtMs === 0) timer?.refresh();
  });
  socket.on('end', () => {
    // A reset that arrives with data ends without an error. It leaves no peer address, like a second half-close.
    if (!socket.writableEnded && socket.remoteAddress === undefined) call.end = 'reset';
    socket.end();
  });
  socket.on('error', () => {
    call.end = 'reset';
  });
  socket.setTimeout(TIMEOUT_MS, () => socket.destroy());
  return new Promise((resolve) => {
    socket.on('close', () => {
      const head = text.indexOf('\r\n\r\n');
      call.bodyBytes = head < 0 ? 0 : text.length - head - 4;
      resolve(call);
    });
  });
}

const calls: Call[] = [];
for (let made = 0; made < Number(count); made += CALLERS_AT_ONCE) {
  const indexes = Array.from({ length: CALLERS_AT_ONCE }, (_, index) => made + index);
  calls.push(...(await Promise.all(indexes.map(makeCall))));
}
process.stdout.write(`${JSON.stringify({ ready: 'leaving-callers', calls })}\n`);
