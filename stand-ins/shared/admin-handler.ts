import { readJson, replyError, replyJson, type Call, type Handler, type Reply } from './call.js';
import type { FaultList } from './faults.js';

/** Operations behind the admin listener of a stand-in. */
export interface Admin {
  /** Returns the body of `GET /record`: what the stand-in has recorded. */
  readonly readRecord: () => unknown;
  /** Applies the body of `POST /state`; returns why it is malformed, or undefined. */
  readonly setState: (body: Record<string, unknown>) => string | undefined;
}

/**
 * Builds the handler of the admin listener.
 *
 * @param faults - the faults that the protocol listener applies
 * @param admin - reads the record and sets the state of the stand-in
 * @returns the handler
 */
export function createAdminHandler(faults: FaultList, admin: Admin): Handler {
  return (call) => {
    const route = `${call.method} ${call.path}`;
    if (route === 'GET /record') return replyJson(200, admin.readRecord());
    if (route === 'POST /faults') return applyBody(call, (body) => faults.add(body));
    if (route === 'POST /state') return applyBody(call, (body) => admin.setState(body));
    if (route !== 'DELETE /faults') return replyError(404, `no ${route}`);
    faults.clear();
    return replyJson(200, {});
  };
}

function applyBody(
  call: Call,
  apply: (body: Record<string, unknown>) => string | undefined,
): Reply {
  const body = readJson(call);
  const problem = body ? apply(body) : 'the body is not a JSON object';
  return problem === undefined ? replyJson(200, {}) : replyError(400, problem);
}
