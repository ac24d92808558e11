import { SharedAdmission } from './admission/shared-admission.js';
import { HttpBackends } from './backends/http-backends.js';
import { HttpCallerListener } from './callers/http-caller-listener.js';
import { FoldedConfiguration } from './configuration/folded-configuration.js';
import { ObservingHoldReaper } from './execution/observing-hold-reaper.js';
import { PhasedModelExecution } from './execution/phased-model-execution.js';
import { RoutedServiceExecution } from './execution/routed-service-execution.js';
import type { Clock } from './kernel/clock.js';
import type { Kernel } from './kernel/kernel.js';
import { WitnessedMembership } from './membership/witnessed-membership.js';
import { JsonLogs } from './observability/json-logs.js';
import { OtelTraces } from './observability/otel-traces.js';
import { ReplicatedDecisions } from './observability/replicated-decisions.js';
import { StatsdMetrics } from './observability/statsd-metrics.js';
import { ConnectOperatorListener } from './operators/connect-operator-listener.js';
import { CommandedOrders } from './orders/commanded-orders.js';
import { ConnectPeers } from './peers/connect-peers.js';
import { RecordSources } from './peers/record-sources.js';
import { HttpLogService } from './infrastructure/http-log-service.js';
import { HttpVmList } from './infrastructure/http-vm-list.js';
import { HttpWeightStore } from './infrastructure/http-weight-store.js';
import { SubsetRouting } from './routing/subset-routing.js';
import type { Settings } from './settings/schema.js';

/** Time-out of a request to the VM list, in milliseconds; until one succeeds the last list is used. */
const VM_LIST_TIMEOUT_MS = 2000;

/** Time-out of a request to the weight store, in milliseconds; the order is retried later. */
const WEIGHT_STORE_TIMEOUT_MS = 2000;

/**
 * Registers the services of a daemon. They start in this order and stop in reverse order, so that the
 * caller listener opens last and drains first.
 *
 * @param kernel - an empty kernel
 * @param settings - the daemon's settings
 * @param clock - clock of all services
 */
export function assembleDaemon(kernel: Kernel, settings: Settings, clock: Clock): void {
  const { vm, platform, statsd, logs, traces } = settings;
  kernel.register('logs', JsonLogs.create(logs.level, vm.name));
  kernel.register('metrics', StatsdMetrics.create(statsd, { vm: vm.name }));
  kernel.register('traces', OtelTraces.create(vm.name, traces.file));
  kernel.register('log', HttpLogService.create(platform.log));
  kernel.register(
    'vm-list',
    HttpVmList.create({ timeoutMs: VM_LIST_TIMEOUT_MS, ...platform.vmList }, clock),
  );
  if (platform.weightStore) {
    const options = { timeoutMs: WEIGHT_STORE_TIMEOUT_MS, ...platform.weightStore };
    kernel.register('weight-store', HttpWeightStore.create(options));
  }
  kernel.register('peers', ConnectPeers.create(kernel, settings));
  kernel.register('record-sources', RecordSources.create(kernel));
  kernel.register('decisions', ReplicatedDecisions.create(kernel, settings, clock));
  kernel.register('configuration', FoldedConfiguration.create(kernel, settings, clock));
  kernel.register('membership', WitnessedMembership.create(kernel, settings, clock));
  kernel.register('admission', SharedAdmission.create(kernel, settings, clock));
  kernel.register('backends', HttpBackends.create(kernel, settings));
  kernel.register('routing', SubsetRouting.create(kernel, settings, clock));
  kernel.register('model-execution', PhasedModelExecution.create(kernel, settings, clock));
  kernel.register('service-execution', RoutedServiceExecution.create(kernel, settings, clock));
  kernel.register('holds', ObservingHoldReaper.create(kernel, clock));
  kernel.register('orders', CommandedOrders.create(kernel, settings, clock));
  kernel.register('operators', ConnectOperatorListener.create(kernel, settings, clock));
  kernel.register('callers', HttpCallerListener.create(kernel, settings, clock));
}
