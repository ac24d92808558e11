import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { replyError, type Call, type Handler, type Reply } from './call.js';
import { FaultList } from './faults.js';

/** Address, handler and faults of a listener. */
export interface ListenerOptions {
  readonly name: string;
  readonly host: string;
  /** TCP port; 0 picks a free one. */
  readonly port: number;
  readonly handler: Handler;
  readonly faults?: FaultList;
  /** Called for each request before faults apply. */
  readonly observe?: (request: IncomingMessage) => void;
}

/**
 * Opens an HTTP listener that injects the matching faults into its answers.
 *
 * @param options - address, handler and faults
 * @returns the listening server and its port
 */
export async function openListener(
  options: ListenerOptions,
): Promise<{ server: Server; port: number }> {
  const server = createServer((request, response) => {
    serve(options, request, response).catch(() => request.socket.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

async function serve(
  options: ListenerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  options.observe?.(request);
  const call = await receive(options.name, request, response);
  const fault = options.faults?.consumeRequestFault(call);
  if (fault?.kind === 'silent') return;
  if (fault?.kind === 'reset') {
    request.socket.resetAndDestroy();
    return;
  }
  if (fault?.kind === 'unavailable') {
    await send(response, replyError(503, 'unavailable'));
    return;
  }
  const reply = await options.handler(call);
  if (fault?.kind === 'lost-answer') {
    request.socket.destroy();
    return;
  }
  if (fault?.kind === 'delay') await delay(fault.delayMs);
  await send(response, reply);
}

async function receive(
  listener: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Call> {
  const closed = new AbortController();
  response.once('close', () => closed.abort());
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const url = new URL(request.url ?? '/', 'http://stand-in');
  return {
    method: request.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(chunks),
    listener,
    signal: closed.signal,
  };
}

async function send(response: ServerResponse, reply: Reply): Promise<void> {
  if (reply.write) {
    response.writeHead(reply.status, reply.headers);
    response.flushHeaders();
    await reply.write(response);
    return;
  }
  const text = reply.body === undefined ? '' : JSON.stringify(reply.body);
  response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers });
  response.end(text);
}
