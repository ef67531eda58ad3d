/** Composition root of an entry process on an external platform. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as connectionPools from "../links/connection_pools.ts";
import { ServerEndCheck } from "../poison/server_end_check.ts";
import { HedgedStore } from "../platform/hedged_store.ts";
import { MeteredStore } from "../metrics/metered_store.ts";
import { SystemClock, SystemRandom } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import type { LoggerFactory } from "../utils/log.ts";
import { ProcessMonitor } from "../utils/process_monitor.ts";
import { processorMs, readProcessStatus } from "../utils/process_status.ts";
import { RequestScheduler } from "../utils/request_scheduler.ts";
import { ServerRateLimits } from "./limits/server_rate_limits.ts";
import { ConfigHolder } from "./store/config_holder.ts";
import { Forwarder } from "./forwarding/forwarder.ts";
import { FrontListener } from "./forwarding/front_listener.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { GrantTask, sparingLeaseMs } from "./grants/grant_task.ts";
import { KindWatch } from "./store/kind_watch.ts";
import { AttemptRelay } from "./paths/attempt_relay.ts";
import { PathNotingGrantControl } from "./grants/path_noting_grant_control.ts";
import { PeerReach } from "./paths/peer_reach.ts";
import { RelayClient } from "./paths/relay_client.ts";
import { ServerPaths } from "./paths/server_paths.ts";
import { PeerRpc } from "./peers/peer_rpc.ts";
import { type OwnState, PeerGossip } from "./peers/peer_gossip.ts";
import type { PlatformAdapter } from "./platform_adapter.ts";
import { PoisonGuard } from "./poison/poison_guard.ts";
import { RangeMapStore } from "./grants/range_map_store.ts";
import { ReadinessServer } from "./readiness_server.ts";
import { AdmissionTask } from "./admission/admission_task.ts";
import { sharesCapacity } from "./admission/share_policy.ts";
import { SharedAdmissionTask } from "./admission/shared_admission_task.ts";
import { LeavingServers } from "./backoffs/leaving_servers.ts";
import { ObservedGrantControl } from "./grants/observed_grant_control.ts";
import { RequestLimitTask } from "./limits/request_limit_task.ts";
import { RequestLog } from "./forwarding/request_log.ts";
import { ServerBackoffTask } from "./backoffs/server_backoff_task.ts";
import { ServerRegistry } from "./servers/server_registry.ts";
import { SlotTask } from "./slots/slot_task.ts";
import { StoreHealth } from "./store/store_health.ts";
import { StoreProbe } from "./store/store_probe.ts";
import { WatchRelay } from "./store/watch_relay.ts";
import { PeerDiscovery } from "./peers/peer_discovery.ts";
import { ZoneEvacuations } from "./servers/zone_evacuations.ts";

/** File descriptors reserved for files, the store, peers and control calls. */
const RESERVED_DESCRIPTORS = 400;
/** Fraction of the remaining descriptors for callers' connections. */
const CALLER_DESCRIPTOR_RATIO = 0.7;
/**
 * Idle timeout of connections to servers that don't announce a keep-alive
 * timeout.
 */
const CONNECTION_IDLE_TIMEOUT_MS = 8_000;
/**
 * Longest idle timeout of connections to servers that announce one: a VM of a
 * large deployment sends to the same owner of keys about every 7 s. The kernel
 * probes idle connections from 60 s on.
 */
const MAX_ANNOUNCED_IDLE_TIMEOUT_MS = 30_000;
/**
 * Fraction of the time limit of an evacuation in which owners in the zone may
 * still get requests; the rest covers late notification of entry VMs.
 */
const EVACUATION_GRACE_RATIO = 0.5;
/** Time in which requests to a draining server must cease, without a setting. */
const DRAIN_BOUND_MS = 2_000;
/**
 * Time to establish a connection to a server; a lost opening packet is repeated
 * only after a second, and a peer's connection is faster.
 */
const CONNECT_TIMEOUT_MS = 200;
const BYTES_PER_MBIT = 125_000;
/** What is given up takes memory until it is collected; usually that is sooner. */
const COLLECTION_MS = 2_000;
/** Maximum time to close the connections to the platform on a stop. */
const CLOSE_TIMEOUT_MS = 300;

/** Options of {@link startGateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly adapter: PlatformAdapter;
  readonly log: LoggerFactory;
}

/** A running entry process. */
export interface Gateway {
  /** Stops gracefully: requests in flight may finish within the grace time. */
  stop(): Promise<void>;
  /** Requests of clients that are read and not answered yet. */
  readonly requestsInFlight: number;
}

/** Starts an entry process. Errors: an address is in use. */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const parts = await createParts(options);
  await start(options, parts);
  return {
    stop: () => stop(options, parts),
    get requestsInFlight() {
      return parts.listener.inFlight;
    },
  };
}

type Parts = Awaited<ReturnType<typeof createParts>>;

async function createParts({ settings, adapter, log }: GatewayOptions) {
  const lifeCycle = new LifeCycle(log.part("main"));
  const clock = new SystemClock();
  const random = new SystemRandom();
  const metrics = new GatewayMetrics(log.part("main"));
  const health = new StoreHealth({ clock, log: log.part("store") });
  const store = new HedgedStore({
    store: new MeteredStore(adapter.store, metrics.storeCalls),
    clock,
    mayRepeat: () => health.mayRepeatCalls,
    onLostAnswer: () => health.noteLostAnswer(),
  });
  const scheduler = new RequestScheduler({
    clock,
    log: log.part("route"),
    count: (decision) => metrics.frontDecisions.add(1, { decision }),
  });
  const config = new ConfigHolder({
    adapter,
    clock,
    log: log.part("config"),
    processorReport: () => scheduler.report,
  });
  const evacuations = new ZoneEvacuations({
    adapter,
    zones: new Set(Object.keys(settings.zones) as contracts.ZoneId[]),
    clock,
    log: log.part("member"),
  });
  const registry: ServerRegistry = new ServerRegistry({
    adapter,
    evacuations,
    evacuationGraceMs: (settings.evacuation?.boundMs ?? 0) *
      EVACUATION_GRACE_RATIO,
    drainBoundMs: settings.drain?.boundMs ?? DRAIN_BOUND_MS,
    coldStartOf: (service) => config.service(service)?.coldStart,
    storeCalmMs: () => relay.storeHealthyMs,
    clock,
    log: log.part("member"),
  });
  const self = {
    vm: settings.vm,
    incarnation: createIncarnation(),
    host: settings.host,
    port: settings.peerPort,
    zone: settings.zone,
    processorCores: settings.limits.processorShare * settings.limits.processors,
    linkMbps: settings.limits.linkMbps,
  };
  const gossip: PeerGossip = new PeerGossip({
    self,
    clock,
    random,
    log: log.part("member"),
    ownHello: () => ({
      hasStore: health.isReachable,
      isLeaving: lifeCycle.isStopping,
      ...grantTask.ownHello(),
    }),
    ownState: () => ownState(),
    ownVoterState: () => ({
      lifeMs: Math.floor(clock.nowMs() - startedMs),
      ...grantTask.ownVoterState(),
    }),
    voters: () => grantTask.voters(),
    ownLoads: () => forwarder.ownState().loads,
    takeSlowdowns: () => forwarder.takeSlowdowns(),
    onSent: (method, bytes, isSameZone) => {
      const labels = { method, way: isSameZone ? "in zone" : "between zones" };
      metrics.peerDatagrams.add(1, labels);
      metrics.peerBytes.add(bytes, labels);
    },
  });
  const hasher = await ownership.KeyHasher.create();
  const probe = new StoreProbe({
    store,
    health,
    name: adapter.prefixes.configObject,
    onObject: (object) => {
      config.applyObject(object, { source: "probe" });
      watches.config.noteStoredObject(object);
    },
    clock,
    need: () => {
      if (relay.isReader || grantTask.isLeader) return "duty";
      return grantTask.voters().has(settings.vm) ? "standby" : "none";
    },
  });
  const calls = new PeerRpc({
    host: settings.host,
    port: settings.peerPort,
    onAccept: () => scheduler.noteAccept(),
    log: log.part("member"),
  });
  const relay: WatchRelay = new WatchRelay({
    self,
    gossip,
    rpc: calls,
    health,
    hasher,
    clock,
    log: log.part("store"),
    isSeed: settings.seeds.some(({ host }) => host === settings.host),
    isLeaving: () => lifeCycle.isStopping,
    probeStore: () => probe.probe(),
  });
  const watches = createWatches();
  const requestLimits = new RequestLimitTask({
    registry,
    gossip,
    clock,
    log: log.part("route"),
    counts: metrics.limitedServerCalls,
  });
  const backoffs = new ServerBackoffTask({
    vm: settings.vm,
    registry,
    gossip,
    clock,
    log: log.part("route"),
    counts: metrics.backoffCalls,
  });
  const leaving = new LeavingServers({ registry, gossip, clock });
  const rateLimits: ServerRateLimits = new ServerRateLimits({
    vm: settings.vm,
    bound: settings.coldStarts,
    config,
    registry,
    gossip,
    requestLimits,
    renewalsPerSecond: (server) => grantTask.renewalsPerSecond(server),
    renewalsPerRange: grants.renewalsPerSecond({
      timings: timingsOf(settings),
      sparingLeaseMs: sparingLeaseMs(settings.timings.longestGrantMs),
    }),
    hasher,
    clock,
  });
  const { memoryMb, linkMbps } = settings.limits;
  const heldBytes = new admission.HeldBytes({
    limitBytes: admission.heldBytesLimit(memoryMb),
    bytesPerSecond: linkMbps && linkMbps * BYTES_PER_MBIT,
    random,
  });
  const connections = new connectionPools.ConnectionPools(
    {
      ...connectionPools.CONNECTION_POOLS_DEFAULTS,
      localAddress: settings.host,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      decoder: adapter.answerDecoder,
      idleTimeoutMs: CONNECTION_IDLE_TIMEOUT_MS,
      onAnswerBytes: (bytes) => heldBytes.addAnswerBytes(bytes),
      onAnswerGivenUp: (bytes) =>
        lifeCycle.after(
          COLLECTION_MS,
          () => heldBytes.addAnswerBytes(-bytes),
          "memory of an answer that was given up",
        ),
      mayReadAnswer: (bytes) => heldBytes.mayReadAnswer(bytes),
      maxAnnouncedIdleTimeoutMs: MAX_ANNOUNCED_IDLE_TIMEOUT_MS,
    },
    lifeCycle,
  );
  const relays = new RelayClient({
    self,
    count: (outcome) =>
      metrics.relayedRequests.add(1, { role: "asked", outcome }),
  });
  const reach: PeerReach = new PeerReach({
    vm: settings.vm,
    gossip,
    clock,
    own: () => paths.ownReach,
  });
  const paths: ServerPaths = new ServerPaths({
    host: settings.host,
    zone: settings.zone,
    registry,
    connections,
    connectionLimitOf: (service) => forwarder.connectionLimit(service),
    gossip,
    reach,
    relays,
    backoffs,
    onNotices: (entry, notices, answer) => {
      backoffs.noteAnswer(entry, notices, answer);
      leaving.noteAnswer(entry, notices);
    },
    clock,
    random,
    log: log.part("route"),
  });
  gossip.onMembersChange(() =>
    relays.keepOnly(new Set(gossip.live.map(({ vm }) => vm)))
  );
  const grantTask: GrantTask = new GrantTask({
    self,
    timings: timingsOf(settings),
    maxLeaseMs: settings.timings.longestGrantMs,
    hasher,
    config,
    registry,
    gossip,
    rpc: calls,
    maps: new RangeMapStore({ store, health, log: log.part("owner") }),
    control: new ObservedGrantControl({
      control: new PathNotingGrantControl(adapter.grants, paths),
      clock,
      counts: metrics.grantAnswers,
      log: log.part("owner"),
      observers: [{
        noteCall: (server, kind) => requestLimits.noteCall(server, kind),
        noteNotices: ({ server }, { requestLimit }, tookMs) => {
          if (requestLimit === undefined) return;
          requestLimits.noteAnswer(server, requestLimit, { tookMs });
        },
      }, {
        noteCall: (server, kind) => backoffs.noteCall(server, kind),
        noteNotices: (entry, notices) => {
          backoffs.noteAnswer(entry, notices, { isRefusal: true });
          leaving.noteAnswer(entry, notices);
        },
      }],
    }),
    health,
    reach,
    clock,
    log: log.part("owner"),
    capacity: (server, factor) => forwarder.capacity(server, factor),
    isCold: ({ server, service }) =>
      registry.coldUntilMs(server) > clock.nowMs() &&
      config.service(service)?.coldStart !== undefined,
    maxRangesOf: (server) => rateLimits.maxRangesOf(server),
    backoffOf: (server) => backoffs.placementOf(server),
    hotKeyCounts: metrics.hotKeys,
    backoffs,
    limitOf: (server) => requestLimits.limitOf(server),
    latencyFactorsOf: (service) => slots.latencyFactors(service),
    isLeaving: () => lifeCycle.isStopping,
  });
  const hasShares = () =>
    sharesCapacity(settings.callerShares, config.active?.config);
  const sharedAdmission: SharedAdmissionTask = new SharedAdmissionTask({
    vm: settings.vm,
    gossip,
    hasher,
    capacityPerSecond: (service) => forwarder.serviceCapacity(service),
    isActive: hasShares,
    isLeaving: () => lifeCycle.isStopping,
    clock,
    log: log.part("route"),
  });
  const admissions: AdmissionTask = new AdmissionTask({
    vm: settings.vm,
    isActive: hasShares,
    gossip,
    shared: sharedAdmission,
    hash: (text) => hasher.hash(text),
    clock,
    unixMs: () => Date.now(),
    random,
    log: log.part("route"),
    counts: metrics.admissionDecisions,
  });
  const slots = new SlotTask({
    vm: settings.vm,
    zone: settings.zone,
    gossip,
    registry,
    hasher,
    clock,
    random,
    log: log.part("route"),
    isLeaving: () => lifeCycle.isStopping,
    rateLimits,
    isReplaceable: (server) => grantTask.isReplaceable(server),
    requestLimits,
    timesOf: (service) => forwarder.timesOf(service),
    hotKeyCounts: metrics.hotKeys,
    hasShares,
    counts: metrics.slotEvents,
  });
  const poison = new PoisonGuard({
    store,
    health,
    prefix: adapter.prefixes.poisonRequests,
    gossip,
    registry,
    endCheck: new ServerEndCheck(connections, {
      localAddress: settings.host,
      isReachedByPeer: (entry) => paths.isReachedByPeer(entry),
    }),
    clock,
    unixMs: () => Date.now(),
    log: log.part("route"),
    counts: metrics.poisonRequests,
    isReader: () => relay.isReader,
  });
  const requestLog = new RequestLog(log.part("route"), clock);
  const forwarder: Forwarder = new Forwarder({
    vm: settings.vm,
    zone: settings.zone,
    zones: settings.zones,
    config,
    registry,
    grants: grantTask,
    gossip,
    slots,
    admissions,
    connections,
    paths,
    poison,
    headers: adapter.headers,
    budget: createBudgetOptions(settings, clock),
    rateLimits,
    requestLimits,
    backoffs,
    endsAtMs: () => listener.endsAtMs,
    clock,
    random,
    log: log.part("route"),
    onFinished: (record) => {
      metrics.recordRequest(record);
      requestLog.record(record);
    },
  });
  const attemptRelay = new AttemptRelay({
    gossip,
    registry,
    paths,
    poison,
    requestLimits,
    backoffs,
    headers: adapter.headers,
    processorCores: self.processorCores,
    heldBytes,
    waitMs: () => scheduler.waitMs,
    graceMs: settings.timings.graceSeconds * 1000,
    count: (outcome) =>
      metrics.relayedRequests.add(1, { role: "sent", outcome }),
    clock,
    log: log.part("route"),
  });
  const startedMs = clock.nowMs();

  function createWatches() {
    const common = {
      store,
      health,
      log: log.part("store"),
      clock,
      random,
      relay,
    };
    return {
      config: new KindWatch({
        ...common,
        prefix: adapter.prefixes.config,
        onList: (objects, origin) =>
          objects.forEach((object) => config.applyObject(object, origin)),
        onChanges: (changes, origin) =>
          changes.forEach(({ object }) =>
            object !== undefined && config.applyObject(object, origin)
          ),
      }),
      servers: new KindWatch({
        ...common,
        prefix: adapter.prefixes.servers,
        onList: (objects, origin) => registry.applyList(objects, origin),
        onChanges: (changes, origin) => registry.applyChanges(changes, origin),
      }),
      // Saves store calls where zones are never evacuated.
      evacuations: settings.evacuation && new KindWatch({
        ...common,
        prefix: adapter.prefixes.evacuations,
        onList: (objects, origin) => evacuations.applyList(objects, origin),
        onChanges: (changes, origin) =>
          evacuations.applyChanges(changes, origin),
      }),
      poisonRequests: new KindWatch({
        ...common,
        prefix: adapter.prefixes.poisonRequests,
        isRare: true,
        onList: (objects) => poison.applyList(objects),
        onChanges: (changes) => poison.applyChanges(changes),
      }),
    };
  }

  function ownState(): OwnState {
    return {
      configVersion: config.version,
      configCursor: watches.config.position,
      serversCursor: watches.servers.position,
      ...forwarder.ownState(),
    };
  }

  const listener: FrontListener = new FrontListener({
    ...settings.front,
    scheduler,
    headers: adapter.headers,
    limits: () => config.active?.config.limits,
    clock,
    random,
    lifeCycle,
    log: log.part("route"),
    connectionLimit: Math.floor(
      (settings.limits.descriptors - RESERVED_DESCRIPTORS) *
        CALLER_DESCRIPTOR_RATIO,
    ),
    graceMs: settings.timings.graceSeconds * 1000,
    admitBeforeBody: (head) => forwarder.admitBeforeBody(head),
    forward: (request) => forwarder.forward(request),
    heldBytes,
    count: (decision) => metrics.frontDecisions.add(1, { decision }),
  });
  config.onChange(() => listener.applyLimits());
  const monitor = new ProcessMonitor({
    clock,
    log: log.part("main"),
    memoryMb,
    readStatus: readProcessStatus,
    processorMs,
    requestsInFlight: () => listener.inFlight,
  });
  return {
    incarnation: self.incarnation,
    lifeCycle,
    monitor,
    config,
    registry,
    watches,
    gossip,
    grantTask,
    slots,
    admissions,
    sharedAdmission,
    poison,
    requestLimits,
    backoffs,
    leaving,
    reach,
    paths,
    relays,
    attemptRelay,
    forwarder,
    listener,
    metrics,
    probe,
    calls,
    relay,
    directory: new PeerDiscovery({
      self,
      store,
      health,
      gossip,
      hasher,
      clock,
      random,
      log: log.part("member"),
      shouldRegister: () => relay.isReader,
    }),
  };
}

async function start(
  { settings, adapter, log }: GatewayOptions,
  parts: Parts,
): Promise<void> {
  const { lifeCycle, gossip, watches, config, registry, grantTask } = parts;
  lifeCycle.onStop({
    name: "connections to the platform",
    timeoutMs: CLOSE_TIMEOUT_MS,
    run: () => adapter.close(),
  });
  parts.monitor.start(lifeCycle);
  const notReadyReason = () => {
    if (lifeCycle.isStopping) return "The process stops";
    if (config.active === undefined) return "No configuration yet";
    if (!registry.isListed) return "No list of servers yet";
    return grantTask.areOwnersKnown
      ? undefined
      : "Owners of keys are not known yet";
  };
  const readiness = new ReadinessServer({
    ...settings.readiness,
    path: adapter.readinessPath,
    log: log.part("main"),
    notReadyReason,
  });
  await readiness.listen(lifeCycle);
  await parts.metrics.listen(settings, lifeCycle);
  for (const { host } of settings.seeds) gossip.addSeed(host);
  gossip.onStatus(({ vm, configCursor, serversCursor }) => {
    watches.config.notePeerPosition(configCursor, vm);
    watches.servers.notePeerPosition(serversCursor, vm);
  });
  await gossip.start(lifeCycle);
  parts.relays.start(lifeCycle);
  await parts.calls.listen(lifeCycle);
  parts.attemptRelay.start(lifeCycle, parts.calls);
  parts.reach.start(lifeCycle);
  parts.paths.start(lifeCycle);
  parts.directory.start(lifeCycle);
  parts.probe.start(lifeCycle);
  parts.relay.start(lifeCycle);
  watches.config.start(lifeCycle);
  watches.servers.start(lifeCycle);
  watches.evacuations?.start(lifeCycle);
  watches.poisonRequests.start(lifeCycle);
  parts.poison.start(lifeCycle);
  grantTask.start(lifeCycle);
  parts.requestLimits.start(lifeCycle);
  parts.backoffs.start(lifeCycle);
  parts.leaving.start(lifeCycle);
  parts.slots.start(lifeCycle);
  parts.admissions.start(lifeCycle);
  parts.sharedAdmission.start(lifeCycle);
  parts.forwarder.start(lifeCycle);
  await parts.listener.listen();
  log.part("main").info("Entry process started.", {
    vm: settings.vm,
    zone: settings.zone,
    front: settings.front.port,
    run: parts.incarnation,
    pid: process.pid,
  });
}

async function stop(
  { settings, log }: GatewayOptions,
  { lifeCycle, gossip }: Parts,
): Promise<void> {
  const mainLog = log.part("main");
  mainLog.info("Entry process stops.", { vm: settings.vm });
  const stopping = lifeCycle.stop();
  try {
    gossip.sendHelloToAll();
  } catch (error) {
    // Peers notice the end of this VM later; its requests go on.
    mainLog.warn("Peers could not be told.", { error: String(error) });
  }
  const report = await stopping;
  for (const { name, reason } of report.failed) {
    mainLog.warn("A part did not stop cleanly.", { name, reason });
  }
  mainLog.info("Entry process stopped.", { vm: settings.vm });
}

/** Creates a short id, as every status message carries it. */
function createIncarnation(): contracts.Incarnation {
  return crypto.randomUUID().slice(0, 8) as contracts.Incarnation;
}

function timingsOf({ timings }: GatewaySettings): grants.GrantTimings {
  const defaults = grants.DEFAULT_GRANT_TIMINGS;
  const holdMs = Math.min(defaults.holdMs, timings.longestGrantMs);
  return { ...defaults, holdMs };
}

function createBudgetOptions(
  { retryBudget: { ratio, slack, windowSeconds }, isRestart }: GatewaySettings,
  clock: contracts.Clock,
): admission.SharedRetryBudgetOptions {
  const windowMs = windowSeconds * 1_000;
  const slackFromMs = isRestart ? clock.nowMs() + windowMs : undefined;
  return { ratio, slack, windowMs, slackFromMs };
}
