import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { LogFields } from '../observability/logs.js';
import { decodeMessage, type FleetMessage } from './digest.js';

/** Shortest time between two log lines about one kind of fault, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** Number of removed entries that a log line names. */
const LOGGED_ENTRIES = 5;

/** Reads the messages of other VMs, and tells in logs and metrics what could not be read. */
export class MessageReader {
  /** Messages since the last log line of a text, and when it was written. */
  private readonly unlogged = new Map<string, { count: number; loggedMs: number }>();

  private constructor(
    private readonly kernel: Kernel,
    private readonly clock: Clock,
  ) {}

  /**
   * Creates a reader.
   *
   * @param kernel - provides `logs` and `metrics`
   * @param clock - source of time
   * @returns a reader that has read nothing
   */
  static create(kernel: Kernel, clock: Clock): MessageReader {
    return new MessageReader(kernel, clock);
  }

  /**
   * Reads a datagram.
   *
   * @param datagram - untrusted bytes
   * @returns the message, or undefined when it cannot be read
   */
  read(datagram: Buffer): FleetMessage | undefined {
    const decoded = decodeMessage(datagram);
    if (!decoded) {
      this.kernel.find('metrics').increment('fleet.unreadable');
      this.log('messages of other VMs cannot be read', { bytes: datagram.length });
      return undefined;
    }
    const { message, removed } = decoded;
    if (removed.length > 0) {
      this.kernel.find('metrics').increment('fleet.partial');
      this.log('messages of other VMs are read without entries', {
        peer: senderOf(message),
        entries: removed.slice(0, LOGGED_ENTRIES).join(' '),
        removed: removed.length,
      });
    }
    return message;
  }

  private log(text: string, fields: LogFields): void {
    const nowMs = this.clock.monotonicMs();
    const { count, loggedMs } = this.unlogged.get(text) ?? { count: 0, loggedMs: -Infinity };
    const messages = count + 1;
    const isDue = nowMs >= loggedMs + LOG_INTERVAL_MS;
    this.unlogged.set(text, isDue ? { count: 0, loggedMs: nowMs } : { count: messages, loggedMs });
    if (isDue) this.kernel.find('logs').warn(text, { ...fields, messages });
  }
}

function senderOf(message: FleetMessage): string {
  if ('vm' in message) return message.vm;
  return 'hub' in message ? message.hub : '';
}
