import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Responses in progress by connection. */
export class OpenResponses {
  private readonly responses = new WeakMap<Socket, Set<ServerResponse>>();

  /**
   * Creates an instance that tracks no responses.
   *
   * @returns a new instance
   */
  static create(): OpenResponses {
    return new OpenResponses();
  }

  /**
   * Tracks a request until its response is closed.
   *
   * @param incoming - the request
   * @param response - its response
   */
  track({ socket }: IncomingMessage, response: ServerResponse): void {
    const responses = this.responses.get(socket) ?? new Set();
    this.responses.set(socket, responses.add(response));
    response.on('close', () => responses.delete(response));
  }

  /**
   * Returns whether a caller would take what is sent to it for the response to another request, or for a
   * part of it. A request whose body has not been received completely has not been run, so it may be refused.
   *
   * @param socket - connection of the caller
   * @returns true when a request on this connection may be running
   */
  isAnswering(socket: Socket): boolean {
    const responses = [...(this.responses.get(socket) ?? [])];
    return responses.some(({ req, headersSent }) => req.complete || headersSent);
  }
}
