/**
 * Tells a backend server that is down from one that only this VM doesn't reach.
 * Without trouble it does nothing but remember when each server was last heard.
 */
import type * as contracts from "@guavatide/contracts";

/** Which of this VM's own connections to a server may carry a request. */
export type PathUse =
  | "any"
  /** Open ones only: new ones fail. */
  | "open-only"
  /** For one request, to see whether it is answered. */
  | "trial"
  | "none";

/** Why a path was lost. */
export type PathLossCause =
  /** New connections fail. */
  | "no-connection"
  /** Connections are made, and nothing comes over them. */
  | "silent"
  /** Nothing comes from any server. */
  | "cut-off";

/** A change of the paths to some servers. */
export type PathChange =
  | {
    readonly kind: "lost";
    readonly servers: readonly contracts.ServerId[];
    readonly cause: PathLossCause;
  }
  | {
    readonly kind: "restored";
    readonly servers: readonly contracts.ServerId[];
    /** Longest time for which one of them was lost. */
    readonly awayMs: number;
  };

/** A request over a connection of this VM's own. */
export interface OpenAttempt {
  readonly startedMs: number;
  /** How long such a request usually takes. */
  readonly expectedMs: number;
  readonly isIdempotent: boolean;
  /**
   * Called when the path is lost while the request is under way, or may be: a
   * request that may run again can then be sent another way.
   */
  readonly onPathLost: (isCertain: boolean) => void;
}

/** What a VM can say of its path to a server. */
export interface PathObservation {
  /** Whether the server accepts a new connection. */
  readonly isAccepting: boolean;
  /** Milliseconds since the VM last heard it; infinite when it has not. */
  readonly heardAgoMs: number;
}

/**
 * What came of a new connection: `silent` if it was neither accepted nor refused
 * in time, which this VM's own load may cause.
 */
export type ConnectOutcome = "accepted" | "refused" | "silent";

/** Options of {@link PathTracker}. */
export interface PathTrackerOptions {
  /** Servers that requests may go to. */
  readonly servers: () => Iterable<contracts.ServerId>;
  readonly random: contracts.RandomSource;
  readonly onChange: (change: PathChange) => void;
}

/**
 * Silence of a server that is worth a look, and the same in multiples of the
 * time that a request usually takes.
 */
const SILENCE_MS = 600;
const SILENCE_RATIO = 4;
/** The same while no server is heard, and so many are silent. */
const COMMON_SILENCE_MS = 200;
const COMMON_SILENCE_RATIO = 2.5;
const MIN_SILENT_SERVERS = 2;
/** A server that was looked at in vain is not looked at again for this time. */
const CHECK_PAUSE_MS = 2_000;
/** The same while no server is heard. */
const URGENT_CHECK_PAUSE_MS = 250;
/** Failures further apart than this have nothing to do with one another. */
const FAILURE_TTL_MS = 1_000;
/** New connections that have to fail in a row. */
const MIN_CONNECT_FAILURES = 2;
/** Failing servers that show that this VM is the cause, if nothing is heard. */
const MIN_FAILING_SERVERS = 3;
/**
 * The same as a fraction of the servers in use: those of a zone may be lost
 * together, while a busy VM reads no answer for longer than the silence below.
 */
const MIN_FAILING_RATIO = 0.5;
/** For this long no server was heard when a VM counts as cut off. */
const CUT_OFF_SILENCE_MS = 100;
/** A request that takes longer than this many times the usual is doubtful. */
const DOUBT_RATIO = 1.5;
/** A trial costs its request some time if the path is still lost. */
const TRIAL_INTERVAL_MS = 600;
/** A request that may run once is no trial until others could have been. */
const TRIAL_GRACE_MS = 1_000;
/** Peers are not asked for a server that none of them reached, for this time. */
const DOWN_TTL_MS = 500;
const PROBE_INTERVAL_MS = 300;
/** Longest interval, of a path that was lost again and again. */
const PROBE_INTERVAL_MAX_MS = 1_000;
/** A path that is lost again within this time is unstable. */
const RELAPSE_MS = 5_000;

/** The path to one server. */
interface PathState {
  readonly attempts: Set<OpenAttempt>;
  heardAtMs: number;
  /** When the last attempt failed without a byte from the server. */
  failedAtMs: number;
  connectFailures: number;
  connectFailedAtMs: number;
  /** When a new connection was last refused. */
  refusedAtMs: number;
  checkedAtMs: number;
  doubtedAtMs: number;
  /** When no peer reached it either. */
  downAtMs: number;
  use: PathUse;
  cause: PathLossCause | undefined;
  /** Whether it was lost with others, and has not failed itself. */
  isInferred: boolean;
  /** Whether a new connection was refused, so that one that works is news. */
  isRefusing: boolean;
  /** Since when it is in trial. */
  trialSinceMs: number;
  lostAtMs: number;
  restoredAtMs: number;
  relapses: number;
  nextProbeMs: number;
  isProbing: boolean;
}

/** The paths from one VM to all servers. */
export class PathTracker {
  readonly #options: PathTrackerOptions;
  readonly #paths = new Map<contracts.ServerId, PathState>();
  /** Servers to which not all connections may be used. */
  readonly #lost = new Set<contracts.ServerId>();
  #openAttempts = 0;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  /** When a server was last put in trial. */
  #trialAtMs = Number.NEGATIVE_INFINITY;
  #unsafeTrialAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: PathTrackerOptions) {
    this.#options = options;
  }

  /** Whether any request is under way or any path lost. */
  get isActive(): boolean {
    return this.#openAttempts > 0 || this.#lost.size > 0;
  }

  /** Servers that this VM doesn't reach. */
  get lostServers(): ReadonlySet<contracts.ServerId> {
    return this.#lost;
  }

  /** Whether this VM reaches no server at all. */
  get isCutOff(): boolean {
    if (this.#lost.size === 0) return false;
    for (const server of this.#options.servers()) {
      if (!this.#lost.has(server)) return false;
    }
    return true;
  }

  /** Which connections may carry requests. */
  useOf(server: contracts.ServerId): PathUse {
    return this.#paths.get(server)?.use ?? "any";
  }

  /** Whether a request may show if a server in trial answers. */
  mayTry(
    server: contracts.ServerId,
    { isIdempotent, nowMs }: {
      readonly isIdempotent: boolean;
      readonly nowMs: number;
    },
  ): boolean {
    const path = this.#paths.get(server);
    if (path?.use !== "trial") return false;
    if (isIdempotent) return true;
    const sinceMs = Math.max(path.trialSinceMs, this.#unsafeTrialAtMs);
    if (nowMs - sinceMs < TRIAL_GRACE_MS) return false;
    this.#unsafeTrialAtMs = nowMs;
    return true;
  }

  /**
   * Whether no server answers any more, though requests at several of them
   * should have ended: this VM may be about to find that it is cut off.
   */
  isDoubtful(nowMs: number): boolean {
    if (nowMs - this.#heardAtMs < CUT_OFF_SILENCE_MS) return false;
    let doubtful = 0;
    for (const { attempts } of this.#paths.values()) {
      for (const { startedMs, expectedMs } of attempts) {
        const usualMs = Math.max(CUT_OFF_SILENCE_MS, DOUBT_RATIO * expectedMs);
        if (nowMs - startedMs < usualMs) continue;
        doubtful++;
        break;
      }
    }
    return doubtful > 1;
  }

  /**
   * Whether several servers are silent and none is heard. This VM may be cut
   * off, so what may be sent again should go to a peer: a request that gets no
   * answer keeps a slot from others.
   */
  isSilentEverywhere(nowMs: number): boolean {
    if (this.#openAttempts === 0 || !this.#isNoneHeard(nowMs)) return false;
    let silent = 0;
    for (const path of this.#paths.values()) {
      if (this.#isSilent(path, nowMs)) silent++;
    }
    return silent >= MIN_SILENT_SERVERS;
  }

  /**
   * Whether peers' requests to the server may be sent from here. One that hangs
   * on a lost path keeps a slot from those that would be answered.
   */
  maySendForPeers(server: contracts.ServerId, nowMs: number): boolean {
    if (this.useOf(server) !== "any" || this.isDoubtful(nowMs)) return false;
    const path = this.#paths.get(server);
    return path === undefined || !this.#isNoneHeard(nowMs) ||
      !this.#isSilent(path, nowMs);
  }

  /** Whether peers were asked for the server just now, and none reached it. */
  isDownEverywhere(server: contracts.ServerId, nowMs: number): boolean {
    const downAtMs = this.#paths.get(server)?.downAtMs;
    return downAtMs !== undefined && nowMs - downAtMs < DOWN_TTL_MS;
  }

  /** Milliseconds since the server was last heard here. */
  heardAgoMs(server: contracts.ServerId, nowMs: number): number {
    return nowMs - (this.#paths.get(server)?.heardAtMs ?? -Infinity);
  }

  /** A request goes out over a connection of this VM's own. */
  start(server: contracts.ServerId, attempt: OpenAttempt): void {
    const path = this.#path(server);
    path.attempts.add(attempt);
    this.#openAttempts++;
    if (path.use === "trial") path.use = "none";
  }

  /** The request has ended, in whatever way. */
  end(server: contracts.ServerId, attempt: OpenAttempt): void {
    if (this.#paths.get(server)?.attempts.delete(attempt)) this.#openAttempts--;
  }

  /** The server has answered a call of this VM. */
  noteHeard(server: contracts.ServerId, nowMs: number): void {
    const path = this.#path(server);
    path.heardAtMs = nowMs;
    this.#heardAtMs = nowMs;
    path.downAtMs = Number.NEGATIVE_INFINITY;
    const restored = this.#takeInferred();
    // Open connections say nothing of new ones.
    if (!path.isRefusing && !restored.includes(server)) restored.push(server);
    this.#restore(restored, nowMs);
  }

  /** Paths that were lost only because no server was heard. */
  #takeInferred(): contracts.ServerId[] {
    const found: contracts.ServerId[] = [];
    for (const server of this.#lost) {
      if (this.#paths.get(server)!.isInferred) found.push(server);
    }
    return found;
  }

  /** A new connection to the server failed. */
  noteConnectFailure(server: contracts.ServerId, nowMs: number): void {
    const path = this.#path(server);
    const isInARow = nowMs - path.connectFailedAtMs < FAILURE_TTL_MS;
    path.connectFailures = isInARow ? path.connectFailures + 1 : 1;
    path.connectFailedAtMs = nowMs;
    noteRefused(path, nowMs);
    this.noteLoss(server, nowMs);
  }

  /** A connection broke under a request, without a byte of an answer. */
  noteLoss(server: contracts.ServerId, nowMs: number): void {
    const path = this.#path(server);
    path.failedAtMs = nowMs;
    if (path.use === "open-only") path.use = "none";
    if (path.use === "any") this.#inferCutOff(nowMs);
  }

  /** A peer has reached a server that fails or is silent here. */
  noteReachedByPeer(server: contracts.ServerId, nowMs: number): void {
    const path = this.#path(server);
    path.downAtMs = Number.NEGATIVE_INFINITY;
    if (path.use === "any" && this.#isSilent(path, nowMs)) {
      return this.#lose([server], "silent", nowMs, "none");
    }
    const isLost = path.use === "any" &&
      path.connectFailures >= MIN_CONNECT_FAILURES &&
      nowMs - path.connectFailedAtMs < FAILURE_TTL_MS;
    if (!isLost) return;
    const isHeard = path.heardAtMs > path.failedAtMs - FAILURE_TTL_MS;
    this.#lose(
      [server],
      "no-connection",
      nowMs,
      isHeard ? "open-only" : "none",
    );
  }

  /** No peer that was asked reaches the server. */
  noteDownEverywhere(server: contracts.ServerId, nowMs: number): void {
    this.#path(server).downAtMs = nowMs;
  }

  /** Servers to look at: they have been silent for too long under requests. */
  takeSilent(nowMs: number): contracts.ServerId[] {
    if (this.#openAttempts === 0) return [];
    const silent: contracts.ServerId[] = [];
    let isAlone = false;
    for (const [server, path] of this.#paths) {
      if (!this.#isSilent(path, nowMs)) continue;
      if (path.use === "none") giveUp(path);
      else silent.push(server);
      isAlone ||= isSilentFor(path, SINGLE_LIMITS, nowMs);
    }
    if (silent.length < MIN_SILENT_SERVERS && !isAlone) return [];
    return silent.filter((server) => this.takeCheck(server, nowMs));
  }

  /** Whether to look at a server that failed; it then counts as looked at. */
  takeCheck(server: contracts.ServerId, nowMs: number): boolean {
    const path = this.#path(server);
    const pauseMs = this.#isNoneHeard(nowMs)
      ? URGENT_CHECK_PAUSE_MS
      : CHECK_PAUSE_MS;
    const isDue = path.use !== "none" && nowMs - path.checkedAtMs >= pauseMs;
    if (isDue) path.checkedAtMs = nowMs;
    return isDue;
  }

  /**
   * Notes what looks at a server that failed or was silent have shown: one from
   * here, and one from a peer if any could be asked.
   */
  noteCheck(
    server: contracts.ServerId,
    { connection, peer, nowMs }: {
      readonly connection: ConnectOutcome;
      readonly peer: PathObservation | undefined;
      readonly nowMs: number;
    },
  ): void {
    const path = this.#path(server);
    if (path.use === "none") return;
    const hasFailed = path.failedAtMs > path.heardAtMs;
    if (!hasFailed && !this.#isSilent(path, nowMs)) return;
    const isAccepting = connection === "accepted";
    if (!isAccepting) {
      path.connectFailures = MIN_CONNECT_FAILURES;
      path.connectFailedAtMs = nowMs;
      if (connection === "refused") noteRefused(path, nowMs);
      path.failedAtMs = nowMs;
    }
    // A server that stands still accepts connections and is heard by nobody.
    const isReachedByPeer = isAccepting
      ? peer !== undefined && this.#isHeardMeanwhile(path, peer, nowMs)
      : peer?.isAccepting;
    if (isReachedByPeer) {
      const cause = isAccepting ? "silent" : "no-connection";
      this.#lose([server], cause, nowMs, "none");
    } else if (isAccepting && peer?.isAccepting) this.#doubt(path, nowMs);
    this.#inferCutOff(nowMs);
  }

  /**
   * Whether the peer has heard a silent server of late, or since requests here
   * were late. A server whose slots are all held by requests on lost paths
   * answers nothing but a peer's calls now and then.
   */
  #isHeardMeanwhile(
    path: PathState,
    { heardAgoMs }: PathObservation,
    nowMs: number,
  ): boolean {
    return heardAgoMs < COMMON_SILENCE_MS ||
      this.#isSilent(path, nowMs - heardAgoMs);
  }

  /**
   * Neither VM knows whether the server answers: has one of the requests that
   * wait for it sent again by a peer.
   */
  #doubt(path: PathState, nowMs: number): void {
    const attempt = [...path.attempts].find(({ isIdempotent }) => isIdempotent);
    if (attempt === undefined) return;
    path.doubtedAtMs = nowMs;
    attempt.onPathLost(false);
  }

  /** Whether a peer should send the next request, to see if it is answered. */
  takeDoubt(server: contracts.ServerId, nowMs: number): boolean {
    const path = this.#paths.get(server);
    if (path === undefined || path.use !== "any") return false;
    const isDoubted = nowMs - path.doubtedAtMs < FAILURE_TTL_MS;
    path.doubtedAtMs = Number.NEGATIVE_INFINITY;
    return isDoubted;
  }

  /** Servers to which a new connection should be tried now. */
  takeProbes(limit: number, nowMs: number): contracts.ServerId[] {
    const due: [contracts.ServerId, PathState][] = [];
    let running = 0;
    for (const server of this.#lost) {
      const path = this.#paths.get(server)!;
      if (path.isProbing) running++;
      else if (nowMs >= path.nextProbeMs) due.push([server, path]);
    }
    due.sort(([, a], [, b]) => a.nextProbeMs - b.nextProbeMs);
    const taken = due.slice(0, Math.max(0, limit - running));
    for (const [, path] of taken) path.isProbing = true;
    return taken.map(([server]) => server);
  }

  /** Notes what came of a new connection to the server. */
  noteProbe(
    server: contracts.ServerId,
    connection: ConnectOutcome,
    nowMs: number,
  ): void {
    const path = this.#paths.get(server);
    if (path === undefined) return;
    path.isProbing = false;
    path.nextProbeMs = nowMs + this.#probeIntervalMs(path);
    if (!this.#lost.has(server)) return;
    if (connection !== "accepted") {
      if (connection === "refused") noteRefused(path, nowMs);
      if (path.use === "trial") path.use = "none";
      return;
    }
    const isHeardAgain = path.cause === "cut-off" &&
      this.#heardAtMs > path.lostAtMs;
    if (path.isRefusing || isHeardAgain) return this.#restore([server], nowMs);
    if (nowMs - this.#trialAtMs < TRIAL_INTERVAL_MS) return;
    this.#trialAtMs = nowMs;
    path.use = "trial";
    if (path.trialSinceMs < path.lostAtMs) path.trialSinceMs = nowMs;
  }

  /** Forgets all other servers. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const [server, { attempts }] of this.#paths) {
      if (servers.has(server)) continue;
      this.#openAttempts -= attempts.size;
      this.#paths.delete(server);
      this.#lost.delete(server);
    }
  }

  #isSilent(path: PathState, nowMs: number): boolean {
    const limits = this.#isNoneHeard(nowMs) ? COMMON_LIMITS : SINGLE_LIMITS;
    return isSilentFor(path, limits, nowMs);
  }

  #isNoneHeard(nowMs: number): boolean {
    return nowMs - this.#heardAtMs >= COMMON_SILENCE_MS;
  }

  /**
   * Many servers that fail at once while none is heard have one cause: this
   * VM's links.
   */
  #inferCutOff(nowMs: number): void {
    if (nowMs - this.#heardAtMs < CUT_OFF_SILENCE_MS) return;
    let failing = 0;
    let used = 0;
    for (const path of this.#paths.values()) {
      const { attempts, heardAtMs } = path;
      const hasFailed = isFailing(path, nowMs);
      if (hasFailed) failing++;
      const isUsed = attempts.size > 0 || nowMs - heardAtMs < FAILURE_TTL_MS;
      if (hasFailed || isUsed) used++;
    }
    if (failing < 2 || failing < Math.min(MIN_FAILING_SERVERS, used)) return;
    if (failing < MIN_FAILING_RATIO * used) return;
    const servers = [...this.#options.servers()]
      .filter((server) => this.useOf(server) !== "none");
    if (servers.length > 0) this.#lose(servers, "cut-off", nowMs, "none");
  }

  #lose(
    servers: readonly contracts.ServerId[],
    cause: PathLossCause,
    nowMs: number,
    use: PathUse,
  ): void {
    const lost: PathState[] = [];
    const newlyLost: contracts.ServerId[] = [];
    for (const server of servers) {
      const path = this.#path(server);
      if (!this.#lost.has(server)) {
        const isRelapse = nowMs - path.restoredAtMs < RELAPSE_MS;
        path.relapses = isRelapse ? path.relapses + 1 : 0;
        path.lostAtMs = nowMs;
        path.nextProbeMs = nowMs + this.#probeIntervalMs(path);
        path.cause = cause;
        path.isInferred = cause === "cut-off" && !isFailing(path, nowMs) &&
          !isSilentFor(path, SINGLE_LIMITS, nowMs);
        path.isRefusing = nowMs - path.refusedAtMs < FAILURE_TTL_MS;
        newlyLost.push(server);
      }
      path.use = use;
      path.failedAtMs = nowMs;
      this.#lost.add(server);
      if (use === "none") lost.push(path);
    }
    if (newlyLost.length > 0) {
      this.#options.onChange({ kind: "lost", servers: newlyLost, cause });
    }
    lost.forEach(giveUp);
  }

  #restore(servers: readonly contracts.ServerId[], nowMs: number): void {
    const restored = servers.filter((server) => this.#lost.delete(server));
    if (restored.length === 0) return;
    let awayMs = 0;
    for (const server of restored) {
      const path = this.#paths.get(server)!;
      path.use = "any";
      path.isRefusing = false;
      path.isInferred = false;
      path.connectFailures = 0;
      path.failedAtMs = Number.NEGATIVE_INFINITY;
      path.restoredAtMs = nowMs;
      awayMs = Math.max(awayMs, nowMs - path.lostAtMs);
    }
    this.#options.onChange({ kind: "restored", servers: restored, awayMs });
  }

  #probeIntervalMs({ relapses }: PathState): number {
    const intervalMs = Math.min(
      PROBE_INTERVAL_MAX_MS,
      PROBE_INTERVAL_MS * 2 ** relapses,
    );
    return intervalMs * (0.75 + this.#options.random.next() / 2);
  }

  #path(server: contracts.ServerId): PathState {
    const found = this.#paths.get(server);
    if (found !== undefined) return found;
    const created: PathState = {
      attempts: new Set(),
      heardAtMs: Number.NEGATIVE_INFINITY,
      failedAtMs: Number.NEGATIVE_INFINITY,
      connectFailures: 0,
      connectFailedAtMs: Number.NEGATIVE_INFINITY,
      refusedAtMs: Number.NEGATIVE_INFINITY,
      checkedAtMs: Number.NEGATIVE_INFINITY,
      doubtedAtMs: Number.NEGATIVE_INFINITY,
      downAtMs: Number.NEGATIVE_INFINITY,
      use: "any",
      cause: undefined,
      isInferred: false,
      isRefusing: false,
      trialSinceMs: Number.NEGATIVE_INFINITY,
      lostAtMs: Number.NEGATIVE_INFINITY,
      restoredAtMs: Number.NEGATIVE_INFINITY,
      relapses: 0,
      nextProbeMs: Number.NEGATIVE_INFINITY,
      isProbing: false,
    };
    this.#paths.set(server, created);
    return created;
  }
}

interface SilenceLimits {
  readonly shortestMs: number;
  /** In multiples of the time that a request usually takes. */
  readonly ratio: number;
}

const SINGLE_LIMITS: SilenceLimits = {
  shortestMs: SILENCE_MS,
  ratio: SILENCE_RATIO,
};
const COMMON_LIMITS: SilenceLimits = {
  shortestMs: COMMON_SILENCE_MS,
  ratio: COMMON_SILENCE_RATIO,
};

/** Whether a request has waited for a byte from the server for too long. */
function isSilentFor(
  { attempts, heardAtMs }: PathState,
  { shortestMs, ratio }: SilenceLimits,
  nowMs: number,
): boolean {
  for (const { startedMs, expectedMs } of attempts) {
    const sinceMs = Math.max(startedMs, heardAtMs);
    if (nowMs - sinceMs >= Math.max(shortestMs, ratio * expectedMs)) {
      return true;
    }
  }
  return false;
}

function isFailing(
  { failedAtMs, heardAtMs }: PathState,
  nowMs: number,
): boolean {
  return failedAtMs > heardAtMs && nowMs - failedAtMs < FAILURE_TTL_MS;
}

function noteRefused(path: PathState, nowMs: number): void {
  path.isRefusing = true;
  path.refusedAtMs = nowMs;
}

function giveUp({ attempts }: PathState): void {
  for (const attempt of [...attempts]) attempt.onPathLost(true);
}
