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
import * as links from "./links/server_links.ts";
import { LoadTask } from "./loads/load_task.ts";
import * as metricsParts from "./metrics/metrics.ts";
import { MeteredStore } from "./metrics/metered_store.ts";
import { MetricsDoor } from "./metrics/metrics_door.ts";
import { requestMetricsOf } from "./metrics/request_metrics_of.ts";
import * as ownershipTasks from "./ownership/mod.ts";
import * as platform from "./platform/mod.ts";
import * as requests from "./requests/mod.ts";
import * as settingsParts from "./settings/mod.ts";
import { MonotonicClock, SystemRandom } from "./utils/clock.ts";
import { LifeCycle } from "./utils/life_cycle.ts";
import * as logParts from "./utils/log.ts";
import { peerCallsOf } from "./vms/peer_calls_of.ts";
import { PeerDoor } from "./vms/peer_door.ts";
import { PeerTask } from "./vms/peer_task.ts";
import { ServerDirectory } from "./zones/server_directory.ts";

/** Beats that fit into the time a peer has to answer one. */
const HEARTBEAT_TIMEOUT_BEATS = 2;

/** Why an entry process did not start. */
export interface StartError {
  readonly kind: "settings-file" | "address-in-use" | "start";
  readonly message: string;
}

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
  tls: settingsParts.DoorCertificates,
): Promise<Entry> {
  const log = logParts.createLog(settings.log);
  const mainLog = log.part("main");
  const lifeCycle = new LifeCycle();
  const clock = new MonotonicClock();
  const random = new SystemRandom();
  const incarnation = crypto.randomUUID() as contracts.Incarnation;
  const self = { vm: settings.vm, incarnation };
  const metrics = new metricsParts.Metrics();

  const storeLink = new platform.HttpPlatformStore(settings.platform.storeUrl);
  const store = new MeteredStore(storeLink, metrics);
  const vmList = new platform.HttpVmList(settings.platform.vmListUrl);
  const directory = new ServerDirectory({
    vmList,
    pollIntervalMs: settings.timings.vmListMs,
    log: log.part("member"),
  });

  const membership = new decisions.Membership({
    ...decisions.DEFAULT_MEMBERSHIP,
    vm: settings.vm,
    random,
    beatMs: settings.timings.heartbeatMs,
  });
  const door = new PeerDoor({
    host: settings.host,
    port: settings.ports.peers,
    secret,
    tls: tls.peers,
  });
  const peerPort = await door.listen(lifeCycle);
  const peers = new PeerTask({
    self: { ...self, zone: settings.zone, host: settings.host, peerPort },
    secret,
    tls: tls.peers,
    heartbeatMs: settings.timings.heartbeatMs,
    heartbeatTimeoutMs: settings.timings.heartbeatMs * HEARTBEAT_TIMEOUT_BEATS,
    door,
    membership,
    clock,
    log: log.part("member"),
  });
  directory.onList((vms) => peers.noteList(vms));

  const config = new configuration.ConfigTask({
    vm: settings.vm,
    store,
    peers: new configuration.PeerTaskConfigSource({
      vm: settings.vm,
      peers,
      door,
      membership,
      clock,
    }),
    choice: await decisions.createWatcherChoice(),
    clock,
    random,
    log: log.part("config"),
    watchWaitMs: settings.timings.watchWaitMs,
    compareMs: settings.timings.configCompareMs,
    settleMs: settings.timings.detectMs,
    storeTimeoutMs: settings.platform.storeTimeoutMs,
    peerTimeoutMs: settings.platform.storeTimeoutMs,
  });
  config.onApplied(() => {
    directory.setOperatorDrains(config.drains().map((drain) => drain.server));
  });
  const hasher = await ownership.KeyHasher.create();
  const adminLog = log.part("admin");
  const administrationParts = { settings, store, clock, log: adminLog };
  const moves = administration.createMoveJournal(administrationParts);
  const peerView = new ownershipTasks.MembershipPeerView({
    self,
    membership,
    peers,
    clock,
    pushTimeoutMs: settings.timings.evidenceMs,
  });
  directory.onList((vms) => peerView.noteList(vms));
  const owners: ownershipTasks.OwnershipTask = new ownershipTasks.OwnershipTask(
    {
      timings: ownershipTimingsOf(settings),
      clock,
      random,
      hasher,
      log,
      store,
      config,
      servers: directory,
      peers: peerView,
      connect: (address) =>
        new platform.HttpBackendControl(
          `http://${address.host}:${address.port}`,
        ),
      load: (service) => loads.source(service),
      noteSteps: (steps) => moves.noteSteps(steps),
    },
  );
  peers.join(owners);
  const loads: LoadTask = new LoadTask({
    self,
    peers,
    door,
    clock,
    heldDuties: () => owners.heldDuties(),
    assignment: (service) => owners.assignment(service),
  });
  peers.join(loads);
  door.register(
    ownershipTasks.ASSIGNMENT_METHOD,
    contractsValues.assignmentSchema,
    (assignment) => owners.takePushed(assignment),
  );

  const peerCalls = peerCallsOf(peers, { self, door, membership, clock });
  const router = new requests.RequestRouter({
    config,
    servers: directory,
    owners,
    links: new links.ServerLinks(links.SERVER_LINKS_DEFAULTS, lifeCycle),
    hashKey: (key) => hasher.hash(key),
    entryVmCount: () => peerCalls.members().length,
    clock,
    random,
    log,
    lifeCycle,
    metrics: {
      ...requestMetricsOf(metrics),
      keyedWork: (work) => loads.record(work),
    },
    longestTimeoutMs: requests.REQUEST_DEFAULTS.longestTimeoutMs,
    peers: peerCalls,
  });
  const listener = new requests.CallerListener({
    settings: requestSettingsOf(settings),
    tls: tls.callers,
    clock,
    lifeCycle,
    route: (request) => router.route(request),
  });
  const metricsDoor = new MetricsDoor({
    host: settings.host,
    port: settings.ports.metrics,
    metrics,
    tls: tls.metrics,
    notReadyReason: () => {
      if (lifeCycle.isStopping) return "The process stops";
      return config.revision > 0 ? undefined : "No configuration in force yet";
    },
  });

  await directory.start(lifeCycle);
  config.start(lifeCycle);
  peers.start(lifeCycle);
  owners.start(lifeCycle);
  loads.start(lifeCycle);
  const ports = {
    callers: await listener.listen(),
    peers: peerPort,
    administration: await administration.startAdministration({
      ...administrationParts,
      config,
      servers: directory,
      owners,
      ownership: {
        assignment: (service) => owners.assignment(service),
        hashOf: (key) => hasher.hash(key),
      },
      moves,
      certificate: tls.administration,
    }, lifeCycle),
    metrics: await metricsDoor.listen(lifeCycle),
  };
  mainLog.info("entry process ready", { vm: settings.vm, ...ports });
  return {
    ports,
    stop: async () => {
      const report = await lifeCycle.stop();
      await Promise.all([storeLink.close(), vmList.close()]);
      for (const { name, reason } of report.failed) {
        mainLog.warn("a part did not stop cleanly", { name, reason });
      }
      mainLog.info("entry process stopped", { vm: settings.vm });
    },
  };
}

function requestSettingsOf(
  settings: settingsParts.Settings,
): requests.RequestSettings {
  const { limits } = settings;
  return {
    ...requests.REQUEST_DEFAULTS,
    host: settings.host,
    port: settings.ports.callers,
    connectionLimit: limits.connections,
    inFlightLimit: limits.requestsInFlight,
    headerLimitBytes: limits.headerBytes,
    bodyLimitBytes: limits.bodyBytes,
    headersTimeoutMs: limits.headerTimeoutMs,
    requestTimeoutMs: limits.requestTimeoutMs,
    keepAliveTimeoutMs: limits.keepAliveMs,
    drainTimeoutMs: settings.timings.drainMs,
  };
}

function ownershipTimingsOf(
  { timings, platform }: settingsParts.Settings,
): ownershipTasks.OwnershipTimings {
  return {
    ...ownership.DEFAULT_OWNERSHIP_SETTINGS,
    ...timings,
    storeTimeoutMs: platform.storeTimeoutMs,
  };
}

function toStartError(error: unknown): StartError {
  if ((error as { code?: string }).code === "EADDRINUSE") {
    const message = `${String(error)}: choose another port in the settings, ` +
      "or stop the process that holds it";
    return { kind: "address-in-use", message };
  }
  const message = `The process did not start (${String(error)}): ` +
    "check the settings with `guavatide check FILE`";
  return { kind: "start", message };
}
