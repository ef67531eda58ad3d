/**
 * Composition root of an entry process: the only module that constructs its
 * tasks and connects them.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as neverthrow from "neverthrow";
import * as administration from "./administration/mod.ts";
import * as configuration from "./configuration/mod.ts";
import * as connectionPools from "./links/connection_pools.ts";
import { LoadTask } from "./loads/load_task.ts";
import { MeteredMoves } from "./metrics/metered_moves.ts";
import { registerStateGauges } from "./metrics/state_gauges.ts";
import * as metricsParts from "./metrics/metrics.ts";
import { MeteredStore } from "./metrics/metered_store.ts";
import { MetricsServer } from "./metrics/metrics_server.ts";
import { createRequestMetrics } from "./metrics/create_request_metrics.ts";
import * as ownershipTasks from "./ownership/mod.ts";
import * as platform from "./platform/mod.ts";
import * as requests from "./requests/mod.ts";
import * as settingsParts from "./settings/mod.ts";
import { toOwnershipTimings, toRequestSettings } from "./derived_settings.ts";
import { type StartError, toStartError } from "./start_error.ts";
import { SystemClock, SystemRandom } from "./utils/clock.ts";
import { LifeCycle } from "./utils/life_cycle.ts";
import * as logParts from "./utils/log.ts";
import { RequestScheduler } from "./utils/request_scheduler.ts";
import { createPeerRpc } from "./vms/create_peer_rpc.ts";
import { PeerServer } from "./vms/peer_server.ts";
import { PeerTask } from "./vms/peer_task.ts";
import { ServerDirectory } from "./zones/server_directory.ts";

/** Timeout of a heartbeat, in heartbeat intervals. */
const HEARTBEAT_TIMEOUT_INTERVALS = 2;
const PLATFORM_STOP_TIMEOUT_MS = 1_000;

/** Ports that a running entry process listens on. */
export interface EntryPorts {
  readonly callers: number;
  readonly peers: number;
  readonly administration: number;
  readonly metrics: number;
}

/** A running entry process. */
export interface Entry {
  readonly ports: EntryPorts;
  /** Stops gracefully: finishes requests in flight and notifies peers. */
  stop(): Promise<void>;
}

/**
 * Starts an entry process with validated settings. Errors: secret or
 * certificate files can't be read, an address is in use, or startup fails.
 */
export function startEntry(
  settings: settingsParts.Settings,
): neverthrow.ResultAsync<Entry, StartError> {
  const secret = settingsParts.readPeerSecret(settings);
  if (secret.isErr()) {
    const { message } = secret.error;
    return neverthrow.errAsync({ kind: "settings-file", message });
  }
  const certificates = settingsParts.readCertificates(settings);
  if (certificates.isErr()) {
    const { message } = certificates.error;
    return neverthrow.errAsync({ kind: "settings-file", message });
  }
  return neverthrow.ResultAsync.fromPromise(
    start(settings, secret.value, certificates.value),
    toStartError,
  );
}

async function start(
  settings: settingsParts.Settings,
  secret: string,
  tls: settingsParts.ListenerCertificates,
): Promise<Entry> {
  const context = createContext(settings, secret, tls);
  const { lifeCycle, directory, metrics } = context;
  // Opened first and therefore closed last: the readiness probe reports until
  // the end that the process is not ready, and why.
  const metricsPort = await createMetricsServer(context).listen(lifeCycle);
  const peerNetwork = await createPeerNetwork(context);
  const config = await createConfiguration(context, peerNetwork);
  const hasher = await ownership.KeyHasher.create();
  const moves = administration.createMoveJournal(adminDependencies(context));
  const { owners, loads } = createOwnership(context, {
    ...peerNetwork,
    config,
    hasher,
    moves,
  });
  const serverConnections = new connectionPools.ConnectionPools(
    connectionPools.CONNECTION_POOLS_DEFAULTS,
    lifeCycle,
  );
  const listener = createCallerListener(context, {
    serverConnections,
    ...peerNetwork,
    config,
    hasher,
    owners,
    loads,
  });
  registerStateGauges(metrics, {
    config,
    owners,
    loads,
    connections: serverConnections,
    membership: peerNetwork.membership,
  });

  await directory.start(lifeCycle);
  config.start(lifeCycle);
  peerNetwork.peers.start(lifeCycle);
  owners.start(lifeCycle);
  loads.start(lifeCycle);
  const administrationPort = await administration.startAdminApi({
    ...adminDependencies(context),
    config,
    servers: directory,
    owners,
    ownership: {
      assignment: (service) => owners.assignment(service),
      hashKey: (key) => hasher.hash(key),
    },
    moves,
    certificate: tls.administration,
  }, lifeCycle);
  const ports = {
    callers: await listener.listen(),
    peers: peerNetwork.peerPort,
    administration: administrationPort,
    metrics: metricsPort,
  };
  context.ready.reason = () =>
    config.revision > 0 ? undefined : "No configuration in force yet";
  context.log.part("main").info("entry process ready", {
    vm: settings.vm,
    ...ports,
  });
  return { ports, stop: () => stop(context) };
}

/** Settings, clocks, logs and clients that all components share. */
interface ProcessContext {
  readonly settings: settingsParts.Settings;
  readonly secret: string;
  readonly tls: settingsParts.ListenerCertificates;
  readonly log: logParts.LoggerFactory;
  readonly lifeCycle: LifeCycle;
  readonly clock: SystemClock;
  readonly random: contracts.RandomSource;
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  readonly metrics: metricsParts.Metrics;
  readonly store: contracts.PlatformStore;
  readonly directory: ServerDirectory;
  /** Reason for which the process is not ready; undefined when it is ready. */
  readonly ready: { reason(): string | undefined };
}

function createContext(
  settings: settingsParts.Settings,
  secret: string,
  tls: settingsParts.ListenerCertificates,
): ProcessContext {
  const log = logParts.createLog(settings.log);
  const lifeCycle = new LifeCycle(log.part("main"));
  const metrics = new metricsParts.Metrics();
  const store = new platform.HttpPlatformStore(settings.platform.storeUrl);
  const vmList = new platform.HttpVmList(settings.platform.vmListUrl);
  lifeCycle.onStop({
    name: "platform connections",
    timeoutMs: PLATFORM_STOP_TIMEOUT_MS,
    run: async () => {
      await Promise.all([store.close(), vmList.close()]);
    },
  });
  const clock = new SystemClock();
  return {
    settings,
    secret,
    tls,
    log,
    lifeCycle,
    clock,
    random: new SystemRandom(),
    self: {
      vm: settings.vm,
      incarnation: crypto.randomUUID() as contracts.Incarnation,
    },
    metrics,
    store: new MeteredStore(store, metrics.storeCalls),
    directory: new ServerDirectory({
      vmList,
      pollIntervalMs: settings.timings.vmListMs,
      clock,
      log: log.part("member"),
    }),
    ready: { reason: () => "The process starts" },
  };
}

/** Membership of the entry VMs, and the server and client for calls among them. */
interface PeerNetwork {
  readonly membership: decisions.Membership;
  readonly door: PeerServer;
  readonly peers: PeerTask;
  readonly peerPort: number;
}

async function createPeerNetwork(
  context: ProcessContext,
): Promise<PeerNetwork> {
  const { settings, secret, tls, self, random, clock, log } = context;
  const { timings, host } = settings;
  const membership = new decisions.Membership({
    ...decisions.DEFAULT_MEMBERSHIP,
    vm: settings.vm,
    random,
    heartbeatIntervalMs: timings.heartbeatMs,
  });
  const peerServer = new PeerServer({
    host,
    port: settings.ports.peers,
    secret,
    tls: tls.peers,
  });
  const peerPort = await peerServer.listen(context.lifeCycle);
  const peers = new PeerTask({
    self: { ...self, zone: settings.zone, host, peerPort },
    secret,
    tls: tls.peers,
    heartbeatMs: timings.heartbeatMs,
    heartbeatTimeoutMs: timings.heartbeatMs * HEARTBEAT_TIMEOUT_INTERVALS,
    peerServer,
    membership,
    clock,
    log: log.part("member"),
  });
  context.directory.onVmList((vms) => peers.noteVmList(vms));
  return { membership, door: peerServer, peers, peerPort };
}

async function createConfiguration(
  context: ProcessContext,
  peerNetwork: PeerNetwork,
): Promise<configuration.ConfigTask> {
  const { settings, store, clock, random, directory } = context;
  const { timings } = settings;
  const config = new configuration.ConfigTask({
    vm: settings.vm,
    store,
    peers: new configuration.PeerTaskConfigSource({
      vm: settings.vm,
      clock,
      ...peerNetwork,
    }),
    watcherSelector: await decisions.createWatcherSelector(),
    clock,
    random,
    log: context.log.part("config"),
    watchWaitMs: timings.watchWaitMs,
    compareIntervalMs: timings.configCompareMs,
    peerDiscoveryMs: timings.configSettleMs,
    storeTimeoutMs: settings.platform.storeTimeoutMs,
    peerTimeoutMs: settings.platform.storeTimeoutMs,
  });
  config.onApplied(() =>
    directory.setOperatorDrains(config.drains().map((drain) => drain.server))
  );
  return config;
}

interface OwnershipDependencies extends PeerNetwork {
  readonly config: configuration.ConfigTask;
  readonly hasher: ownership.KeyHasher;
  readonly moves: administration.MoveJournal;
}

interface Ownership {
  readonly owners: ownershipTasks.OwnershipTask;
  readonly loads: LoadTask;
}

function createOwnership(
  context: ProcessContext,
  deps: OwnershipDependencies,
): Ownership {
  const { settings, self, clock, directory } = context;
  const { membership, peers, door: peerServer } = deps;
  const peerView = new ownershipTasks.MembershipPeerView({
    self,
    membership,
    peers,
    clock,
    timeoutMs: settings.timings.evidenceMs,
  });
  directory.onVmList((vms) => peerView.noteVmList(vms));
  const loads = new LoadTask({ self, peers, peerServer, clock });
  const owners = new ownershipTasks.OwnershipTask({
    timings: toOwnershipTimings(settings),
    clock,
    random: context.random,
    hasher: deps.hasher,
    log: context.log,
    store: context.store,
    config: deps.config,
    servers: directory,
    moveRecorder: new MeteredMoves(deps.moves, context.metrics),
    peers: peerView,
    connect: (address) =>
      new platform.HttpBackendControl(contractsValues.originOf(address)),
    load: (service) => loads.loadSource(service),
  });
  loads.setOwnershipSource(owners);
  peers.addParticipant(owners);
  peers.addParticipant(loads);
  peerServer.register(
    ownershipTasks.ASSIGNMENT_METHOD,
    contractsValues.assignmentSchema,
    (assignment) => owners.acceptAssignment(assignment),
  );
  peerServer.register(
    ownershipTasks.KNOWN_REVISION_METHOD,
    contractsValues.knownRevisionRequestSchema,
    (request) => owners.answerKnownRevision(request),
  );
  return { owners, loads };
}

interface RequestDependencies extends PeerNetwork, Ownership {
  readonly serverConnections: connectionPools.ConnectionPools;
  readonly config: configuration.ConfigTask;
  readonly hasher: ownership.KeyHasher;
}

function createCallerListener(
  context: ProcessContext,
  deps: RequestDependencies,
): requests.CallerListener {
  const { settings, self, clock, lifeCycle } = context;
  const { membership, door: peerServer, hasher, loads } = deps;
  const peerCalls = createPeerRpc(deps.peers, {
    self,
    peerServer,
    membership,
    clock,
  });
  const router = new requests.RequestRouter({
    config: deps.config,
    servers: context.directory,
    owners: deps.owners,
    connectionPools: deps.serverConnections,
    hashKey: (key) => hasher.hash(key),
    entryVmCount: () => peerCalls.members().length,
    clock,
    random: context.random,
    log: context.log,
    lifeCycle,
    metrics: {
      ...createRequestMetrics(context.metrics),
      keyedWork: (work) => loads.recordRequest(work),
    },
    maxTimeoutMs: requests.REQUEST_DEFAULTS.maxTimeoutMs,
    unfencedTimeoutMs: settings.timings.unfencedMoveWaitMs,
    peers: peerCalls,
  });
  return new requests.CallerListener({
    settings: toRequestSettings(settings),
    tls: context.tls.callers,
    clock,
    lifeCycle,
    scheduler: new RequestScheduler({
      clock,
      log: context.log.part("route"),
    }),
    route: (request) => router.route(request),
  });
}

function createMetricsServer(context: ProcessContext): MetricsServer {
  return new MetricsServer({
    host: context.settings.host,
    port: context.settings.ports.metrics,
    metrics: context.metrics,
    tls: context.tls.metrics,
    notReadyReason: () =>
      context.lifeCycle.isStopping
        ? "The process stops"
        : context.ready.reason(),
  });
}

function adminDependencies({ settings, store, clock, log }: ProcessContext) {
  return { settings, store, clock, log: log.part("admin") };
}

async function stop(
  { lifeCycle, log, settings }: ProcessContext,
): Promise<void> {
  const stopReport = await lifeCycle.stop();
  const mainLog = log.part("main");
  for (const { name, reason } of stopReport.failed) {
    mainLog.warn("a component did not stop cleanly", { name, reason });
  }
  mainLog.info("entry process stopped", { vm: settings.vm });
}
