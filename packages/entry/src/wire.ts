/**
 * The one module that wires the parts of an entry process together. Nothing
 * else constructs tasks.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as neverthrow from "neverthrow";
import * as administration from "./administration/mod.ts";
import * as configuration from "./configuration/mod.ts";
import * as linkParts from "./links/connection_pools.ts";
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
import { MonotonicClock, SystemRandom } from "./utils/clock.ts";
import { LifeCycle } from "./utils/life_cycle.ts";
import * as logParts from "./utils/log.ts";
import { createPeerRpc } from "./vms/create_peer_rpc.ts";
import { PeerServer } from "./vms/peer_server.ts";
import { PeerTask } from "./vms/peer_task.ts";
import { ServerDirectory } from "./zones/server_directory.ts";

/** Beats that fit into the time a peer has to answer one. */
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
  /** Stops gracefully: requests in flight end, peers are told. */
  stop(): Promise<void>;
}

/** Starts an entry process with checked settings. */
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
  const base = createContext(settings, secret, tls);
  const { lifeCycle, directory, metrics } = base;
  // First to open and so last to close: it says until the end that the
  // process is not ready, and why.
  const metricsPort = await createMetricsServer(base).listen(lifeCycle);
  const vms = await createPeerNetwork(base);
  const config = await createConfiguration(base, vms);
  const hasher = await ownership.KeyHasher.create();
  const moves = administration.createMoveJournal(adminDependencies(base));
  const { owners, loads } = createOwnership(base, {
    ...vms,
    config,
    hasher,
    moves,
  });
  const serverLinks = new linkParts.ConnectionPools(
    linkParts.CONNECTION_POOLS_DEFAULTS,
    lifeCycle,
  );
  const listener = createCallerListener(base, {
    serverConnections: serverLinks,
    ...vms,
    config,
    hasher,
    owners,
    loads,
  });
  registerStateGauges(metrics, {
    config,
    owners,
    loads,
    connections: serverLinks,
    membership: vms.membership,
  });

  await directory.start(lifeCycle);
  config.start(lifeCycle);
  vms.peers.start(lifeCycle);
  owners.start(lifeCycle);
  loads.start(lifeCycle);
  const administrationPort = await administration.startAdminApi({
    ...adminDependencies(base),
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
    peers: vms.peerPort,
    administration: administrationPort,
    metrics: metricsPort,
  };
  base.ready.reason = () =>
    config.revision > 0 ? undefined : "No configuration in force yet";
  base.log.part("main").info("entry process ready", {
    vm: settings.vm,
    ...ports,
  });
  return { ports, stop: () => stop(base) };
}

/** What every part of the process is built from. */
interface ProcessContext {
  readonly settings: settingsParts.Settings;
  readonly secret: string;
  readonly tls: settingsParts.ListenerCertificates;
  readonly log: logParts.LoggerFactory;
  readonly lifeCycle: LifeCycle;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  readonly metrics: metricsParts.Metrics;
  readonly store: contracts.PlatformStore;
  readonly directory: ServerDirectory;
  /** Why the process is not ready; undefined when it is. */
  readonly ready: { reason(): string | undefined };
}

function createContext(
  settings: settingsParts.Settings,
  secret: string,
  tls: settingsParts.ListenerCertificates,
): ProcessContext {
  const log = logParts.createLog(settings.log);
  const lifeCycle = new LifeCycle();
  const metrics = new metricsParts.Metrics();
  const store = new platform.HttpPlatformStore(settings.platform.storeUrl);
  const vmList = new platform.HttpVmList(settings.platform.vmListUrl);
  lifeCycle.onStop({
    name: "links to the platform",
    timeoutMs: PLATFORM_STOP_TIMEOUT_MS,
    run: async () => {
      await Promise.all([store.close(), vmList.close()]);
    },
  });
  const clock = new MonotonicClock();
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

/** Other entry VMs, as this process knows and calls them. */
interface PeerNetwork {
  readonly membership: decisions.Membership;
  readonly door: PeerServer;
  readonly peers: PeerTask;
  readonly peerPort: number;
}

async function createPeerNetwork(base: ProcessContext): Promise<PeerNetwork> {
  const { settings, secret, tls, self, random, clock, log } = base;
  const { timings, host } = settings;
  const membership = new decisions.Membership({
    ...decisions.DEFAULT_MEMBERSHIP,
    vm: settings.vm,
    random,
    heartbeatIntervalMs: timings.heartbeatMs,
  });
  const door = new PeerServer({
    host,
    port: settings.ports.peers,
    secret,
    tls: tls.peers,
  });
  const peerPort = await door.listen(base.lifeCycle);
  const peers = new PeerTask({
    self: { ...self, zone: settings.zone, host, peerPort },
    secret,
    tls: tls.peers,
    heartbeatMs: timings.heartbeatMs,
    heartbeatTimeoutMs: timings.heartbeatMs * HEARTBEAT_TIMEOUT_INTERVALS,
    peerServer: door,
    membership,
    clock,
    log: log.part("member"),
  });
  base.directory.onVmList((vms) => peers.noteVmList(vms));
  return { membership, door, peers, peerPort };
}

async function createConfiguration(
  base: ProcessContext,
  vms: PeerNetwork,
): Promise<configuration.ConfigTask> {
  const { settings, store, clock, random, directory } = base;
  const { timings } = settings;
  const config = new configuration.ConfigTask({
    vm: settings.vm,
    store,
    peers: new configuration.PeerTaskConfigSource({
      vm: settings.vm,
      clock,
      ...vms,
    }),
    watcherSelector: await decisions.createWatcherSelector(),
    clock,
    random,
    log: base.log.part("config"),
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
  base: ProcessContext,
  parts: OwnershipDependencies,
): Ownership {
  const { settings, self, clock, directory } = base;
  const { membership, peers, door } = parts;
  const peerView = new ownershipTasks.MembershipPeerView({
    self,
    membership,
    peers,
    clock,
    timeoutMs: settings.timings.evidenceMs,
  });
  directory.onVmList((vms) => peerView.noteVmList(vms));
  const loads = new LoadTask({ self, peers, peerServer: door, clock });
  const owners = new ownershipTasks.OwnershipTask({
    timings: toOwnershipTimings(settings),
    clock,
    random: base.random,
    hasher: parts.hasher,
    log: base.log,
    store: base.store,
    config: parts.config,
    servers: directory,
    moveRecorder: new MeteredMoves(parts.moves, base.metrics),
    peers: peerView,
    connect: (address) =>
      new platform.HttpBackendControl(`http://${address.host}:${address.port}`),
    load: (service) => loads.loadSource(service),
  });
  loads.setOwnershipSource(owners);
  peers.addParticipant(owners);
  peers.addParticipant(loads);
  door.register(
    ownershipTasks.ASSIGNMENT_METHOD,
    contractsValues.assignmentSchema,
    (assignment) => owners.acceptAssignment(assignment),
  );
  door.register(
    ownershipTasks.KNOWN_REVISION_METHOD,
    contractsValues.knownRevisionRequestSchema,
    (question) => owners.answerKnownRevision(question),
  );
  return { owners, loads };
}

interface RequestDependencies extends PeerNetwork, Ownership {
  readonly serverConnections: linkParts.ConnectionPools;
  readonly config: configuration.ConfigTask;
  readonly hasher: ownership.KeyHasher;
}

function createCallerListener(
  base: ProcessContext,
  parts: RequestDependencies,
): requests.CallerListener {
  const { settings, self, clock, lifeCycle } = base;
  const { membership, door, hasher, loads } = parts;
  const peerCalls = createPeerRpc(parts.peers, {
    self,
    peerServer: door,
    membership,
    clock,
  });
  const router = new requests.RequestRouter({
    config: parts.config,
    servers: base.directory,
    owners: parts.owners,
    connectionPools: parts.serverConnections,
    hashKey: (key) => hasher.hash(key),
    entryVmCount: () => peerCalls.members().length,
    clock,
    random: base.random,
    log: base.log,
    lifeCycle,
    metrics: {
      ...createRequestMetrics(base.metrics),
      keyedWork: (work) => loads.recordRequest(work),
    },
    maxTimeoutMs: requests.REQUEST_DEFAULTS.maxTimeoutMs,
    unfencedTimeoutMs: settings.timings.unfencedMoveWaitMs,
    peers: peerCalls,
  });
  return new requests.CallerListener({
    settings: toRequestSettings(settings),
    tls: base.tls.callers,
    clock,
    lifeCycle,
    route: (request) => router.route(request),
  });
}

function createMetricsServer(base: ProcessContext): MetricsServer {
  return new MetricsServer({
    host: base.settings.host,
    port: base.settings.ports.metrics,
    metrics: base.metrics,
    tls: base.tls.metrics,
    notReadyReason: () =>
      base.lifeCycle.isStopping ? "The process stops" : base.ready.reason(),
  });
}

function adminDependencies({ settings, store, clock, log }: ProcessContext) {
  return { settings, store, clock, log: log.part("admin") };
}

async function stop(
  { lifeCycle, log, settings }: ProcessContext,
): Promise<void> {
  const report = await lifeCycle.stop();
  const mainLog = log.part("main");
  for (const { name, reason } of report.failed) {
    mainLog.warn("a part did not stop cleanly", { name, reason });
  }
  mainLog.info("entry process stopped", { vm: settings.vm });
}
