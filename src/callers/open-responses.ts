import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests without a complete response on one connection, above which it is closed. */
const MAX_PIPELINED = 16;

/** Responses in progress by connection, in the order of their requests. */
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
   * Tracks a request until its response is closed. The response emits `close` when the connection closes, also
   * while it waits for the responses before it; Node closes only the one that has the socket.
   *
   * @param incoming - the request
   * @param response - its response
   * @returns false when the connection has too many requests without a complete response
   */
  track({ socket }: IncomingMessage, response: ServerResponse): boolean {
    const responses = this.responses.get(socket) ?? this.trackConnection(socket);
    if (responses.size >= MAX_PIPELINED) return false;
    responses.add(response);
    response.on('close', () => responses.delete(response));
    return true;
  }

  /**
   * Waits until the responses before this one on its connection are complete, so that the response has the
   * socket. A request that waits has not been run.
   *
   * @param incoming - a request that is tracked
   * @param response - its response
   * @returns false when the connection has closed
   */
  async takeTurn({ socket }: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const responses = [...(this.responses.get(socket) ?? [])];
    const previous = responses[responses.indexOf(response) - 1];
    if (previous) {
      await new Promise<void>((resolve) => {
        previous.once('close', resolve);
      });
    }
    return !socket.destroyed && !response.destroyed;
  }

  private trackConnection(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.responses.set(socket, responses);
    socket.once('close', () => {
      [...responses]
        .filter(({ socket: own, writableFinished }) => !own && !writableFinished)
        .forEach((response) => response.destroy().emit('close'));
    });
    return responses;
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
