import { Code, ConnectError, type HandlerContext, type ServiceImpl } from '@connectrpc/connect';

import { type Change, changeSchema, keySchema } from '../configuration/change.js';
import { toPlainState } from '../configuration/fold-json.js';
import type {
  ChangeRequest,
  OperatorService,
  WithdrawKeyRequest,
} from '../gen/cuminspar/operator/v1/operator_pb.js';
import type { Clock } from '../kernel/clock.js';
import type { Kernel } from '../kernel/kernel.js';
import type { Outcome } from '../kernel/outcome.js';
import type { Member } from '../membership/membership.js';
import type { FileFailure } from '../settings/file-failure.js';
import { parseJsonText } from '../settings/read-json-file.js';
import { FleetStatus } from './fleet-status.js';
import { mapConcurrently } from './map-concurrently.js';

const MAX_CONCURRENT_CALLS = 32;
const CALL_TIMEOUT_MS = 1500;
const LOG_TIMEOUT_MS = 1000;
const MAX_WAIT_MS = 600_000;

type Handlers = ServiceImpl<typeof OperatorService>;

/**
 * Creates the handlers of the operator service.
 *
 * @param kernel - locates the other services
 * @param clock - measures waits
 * @returns the handlers
 */
export function createOperatorHandlers(kernel: Kernel, clock: Clock): Handlers {
  const fleet = FleetStatus.create(kernel, clock);
  return {
    change: (request) => change(kernel, request),
    withdrawKey: (request) => withdrawKey(kernel, clock, request),
    showConfiguration: () => showConfiguration(kernel),
    status: async (request, context) => ({
      vms: request.local ? [fleet.readLocal()] : await fleet.readAll(readAuthorization(context)),
    }),
    wait: async (request, context) => {
      const timeoutMs = Math.min(request.timeoutMs, MAX_WAIT_MS);
      const behind = await fleet.waitForVersion(
        request.version,
        timeoutMs,
        readAuthorization(context),
      );
      return { inForce: behind.length === 0, behind };
    },
    explain: async (request) => {
      const entries = await kernel.find('decisions').explain(request.requestId);
      return {
        decisions: entries.map(({ atMs, vm, step, choice, reason, facts }) => {
          const factsJson = JSON.stringify(facts);
          return { atMs: BigInt(Math.trunc(atMs)), vm, step, choice, reason, factsJson };
        }),
      };
    },
  };
}

function readAuthorization(context: HandlerContext): string {
  return context.requestHeader.get('authorization') ?? '';
}

async function change(kernel: Kernel, request: ChangeRequest) {
  const parsed: Outcome<Change, FileFailure> = parseJsonText(
    'change',
    request.changeJson,
    changeSchema,
  );
  if (parsed.kind === 'failed') {
    const { message } = parsed.failure;
    return { verdict: 'invalid', reason: message, version: 0n, changeId: '' };
  }
  const configuration = kernel.find('configuration');
  const operator = request.operator || 'unnamed';
  // A key withdrawal takes effect on this daemon and its peers before the log has stored it.
  if (parsed.value.kind === 'withdraw-key') {
    configuration.withdraw([parsed.value.keyId], operator);
  }
  const base = request.base < 0n ? undefined : Number(request.base);
  const verdict = await configuration.change(parsed.value, base, operator);
  return { ...verdict, version: BigInt(verdict.version) };
}

async function withdrawKey(kernel: Kernel, clock: Clock, request: WithdrawKeyRequest) {
  const { keyId } = request;
  if (!keySchema.shape.keyId.safeParse(keyId).success) {
    throw new ConnectError(
      'a key id is 4 to 32 lower-case letters and digits',
      Code.InvalidArgument,
    );
  }
  const configuration = kernel.find('configuration');
  configuration.withdraw([keyId], request.operator || 'unnamed');
  const membership = kernel.find('membership');
  const { vm, incarnation } = membership.self();
  const others = membership.current().members.filter((member) => member.vm !== vm);
  const results = await mapConcurrently(others, MAX_CONCURRENT_CALLS, async (member) => ({
    vm: member.vm,
    confirmed: await sendWithdrawal(kernel, member, keyId, { vm, incarnation }),
  }));
  const isLogged = () => configuration.current()?.withdrawnKeyIds.has(keyId) ?? false;
  const deadlineMs = clock.monotonicMs() + LOG_TIMEOUT_MS;
  while (!isLogged() && clock.monotonicMs() < deadlineMs) await clock.sleep(20);
  return {
    confirmed: [vm, ...results.filter((result) => result.confirmed).map((result) => result.vm)],
    unreached: results.filter((result) => !result.confirmed).map((result) => result.vm),
    logged: isLogged(),
  };
}

async function sendWithdrawal(
  kernel: Kernel,
  member: Member,
  keyId: string,
  sender: { vm: string; incarnation: string },
): Promise<boolean> {
  try {
    const client = kernel.find('peers').client(member.peers);
    await client.withdrawKeys({ sender, keyIds: [keyId] }, { timeoutMs: CALL_TIMEOUT_MS });
    return true;
  } catch {
    return false;
  }
}

/** Reads the configuration for operators; the hashes of the key secrets are left out. */
function showConfiguration(kernel: Kernel) {
  const state = kernel.find('configuration').current();
  if (!state) throw new ConnectError('no configuration has been read yet', Code.FailedPrecondition);
  const keys = [...state.keys.values()].map(({ keyId, team }) => ({ keyId, team }));
  return {
    version: BigInt(state.version),
    configurationJson: JSON.stringify({ ...toPlainState(state), keys }),
  };
}
