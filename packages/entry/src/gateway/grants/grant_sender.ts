/**
 * Sends the grants (leases of key ranges) of one service to its backend
 * servers, one at a time to each server, and records when each was sent: a
 * handover has to wait for every lease that may still be in force.
 */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import * as neverthrow from "neverthrow";
import { SystemRandom } from "../../utils/clock.ts";
import type { Logger } from "../../utils/log.ts";

/** Options of {@link GrantSender}. */
export interface GrantSenderOptions {
  readonly control: contracts.GrantControl;
  readonly timings: grants.GrantTimings;
  readonly clock: contracts.Clock;
  /** Default: the system's random source. */
  readonly random?: contracts.RandomSource;
  readonly log: Logger;
  /**
   * Finds the server of an owner, also while it is draining; undefined when it
   * is unknown.
   */
  readonly findServer: (
    owner: contracts.RangeOwner,
  ) => contracts.RegisteredServer | undefined;
  /**
   * An owner accepted a range for the first time since this VM knows its fence.
   */
  readonly onAccepted: (range: contracts.RangeState) => void;
  /** A grant to the server was answered, failed, or was not sent after all. */
  readonly onCompleted: (server: contracts.ServerId) => void;
  /**
   * An owner has seen a higher fence: the map known here is outdated or wrong.
   */
  readonly onFencedOff: (range: contracts.RangeState) => void;
}

/** State of the grants to one server. Times are those of the clock, in ms. */
interface ServerState {
  /** The run that the grants went to: a new one owes no answers. */
  readonly owner: contracts.RangeOwner;
  isInFlight: boolean;
  /** When the last grant was answered or failed. */
  lastEndedAtMs: number;
  /** Start of the oldest of the consecutive grants without an answer. */
  unansweredSinceMs: number | undefined;
  /** Consecutive grants that failed or were refused. */
  consecutiveFailures: number;
  /** No grant is sent before this time. */
  retryAtMs: number;
}

/**
 * A server no longer counts as unresponsive this long after the last grant: it
 * gets no grants once its ranges are taken away, so no answer could show that
 * it has recovered.
 */
const SUSPICION_TTL_MS = 1_500;
/**
 * An owner that refuses a range for so long never serves it, though it answers.
 * An entry VM with an outdated map learns of a newer one sooner.
 */
const REFUSED_AFTER_MS = 1_500;
/**
 * Exponential backoff after failed grants: a refused connection fails within a
 * millisecond.
 */
const RETRY_MIN_MS = 40;
const RETRY_MAX_MS = 320;

/** Grants of one range. Times are those of the clock, in ms. */
interface LastCall extends contracts.KeyRange {
  readonly server: contracts.ServerId;
  isInFlight: boolean;
  endedAtMs: number;
  unansweredAtMs: number | undefined;
  /** Longest lifetime of the lease of the call in flight, from its end on. */
  leaseLifetimeMs: number;
  /** When the leases of calls that have ended expire at the latest. */
  leaseEndMs: number;
  /** The same of calls without an answer. */
  unansweredLeaseEndMs: number | undefined;
}

/** How a grant ended. */
interface AnswerState {
  readonly leaseLifetimeMs: number;
  /** Undefined while it is in flight. */
  endedAtMs: number | undefined;
  /** Whether it may have no answer of its own; may become known after its end. */
  isDoubted: boolean;
}

/** Records a grant that has ended without an answer of its own. */
function noteIfUnanswered(
  call: LastCall,
  { endedAtMs, isDoubted, leaseLifetimeMs }: AnswerState,
): void {
  if (!isDoubted || endedAtMs === undefined) return;
  call.unansweredAtMs = Math.max(
    call.unansweredAtMs ?? Number.NEGATIVE_INFINITY,
    endedAtMs,
  );
  call.unansweredLeaseEndMs = Math.max(
    call.unansweredLeaseEndMs ?? Number.NEGATIVE_INFINITY,
    endedAtMs + leaseLifetimeMs,
  );
}

/** Ages in ms of the last grant and of the last unanswered one. */
type GrantAges = [lastMs: number, unansweredMs: number | null];

/**
 * Grants of the ranges of one handover: old owner, revision of its start, age of
 * the last one in ms, remaining time of the leases and of the unanswered ones.
 */
export type HandoverGrantTimes = [
  server: string,
  revision: number,
  lastMs: number,
  leaseLeftMs: number,
  unansweredLeaseLeftMs: number | null,
];

/** A grant that its owner has accepted. */
interface AcceptedGrant {
  readonly sentAtMs: number;
  readonly leaseMs: number;
}

/** A range whose owner has answered each grant with a refusal. */
interface RefusedRange {
  readonly server: contracts.ServerId;
  readonly sinceMs: number;
}

/** A lease of a range to be granted or renewed. */
export interface GrantRequest {
  readonly range: contracts.RangeState;
  /** State that the old owner hands to the new one; undefined when none. */
  readonly handover: string | undefined;
  /** Lease duration. */
  readonly leaseMs: number;
  /**
   * Whether the grant may still be sent; checked when its bytes are written.
   */
  readonly isStillAllowed: () => boolean;
}

/** Grants and renews the ranges of one service on behalf of one entry VM. */
export class GrantSender {
  readonly #options: GrantSenderOptions;
  readonly #servers = new Map<contracts.ServerId, ServerState>();
  /** The last accepted grant of each range, by range key. */
  readonly #accepted = new Map<string, AcceptedGrant>();
  /** Ranges that their owners refuse, by range key. */
  readonly #refused = new Map<string, RefusedRange>();
  /** Last calls by range key, also of ranges that are no longer granted. */
  readonly #lastCalls = new Map<string, LastCall>();
  /** Range keys of the map in force. */
  #listed: ReadonlySet<string> = new Set();

  constructor(options: GrantSenderOptions) {
    this.#options = options;
  }

  /** The last grant of a range that its owner accepted; undefined for none. */
  accepted(range: contracts.RangeState): AcceptedGrant | undefined {
    return this.#accepted.get(rangeKeyOf(range));
  }

  /**
   * Whether a grant may be sent: the owner is known, no other grant to it is in
   * flight, and the backoff after a failure is over.
   */
  canSend(owner: contracts.RangeOwner): boolean {
    if (this.#options.findServer(owner) === undefined) return false;
    const state = this.#servers.get(owner.server);
    if (state?.owner.bornMs !== owner.bornMs) return true;
    return !state.isInFlight &&
      this.#options.clock.nowMs() >= state.retryAtMs;
  }

  /** Whether the last grant to an owner failed or was refused. */
  isFailing({ server, bornMs }: contracts.RangeOwner): boolean {
    const state = this.#servers.get(server);
    return state?.owner.bornMs === bornMs && state.consecutiveFailures > 0;
  }

  /**
   * Servers that have not answered this VM's grants for at least
   * `timings.unresponsiveAfterMs`, or that keep refusing a range.
   */
  unresponsiveServers(): contracts.ServerId[] {
    const { clock, timings, findServer } = this.#options;
    const nowMs = clock.nowMs();
    const refusing = new Set(
      [...this.#refused.values()]
        .filter(({ sinceMs }) => nowMs - sinceMs >= REFUSED_AFTER_MS)
        .map(({ server }) => server),
    );
    return [...this.#servers]
      .filter(([, { owner }]) => findServer(owner) !== undefined)
      .filter(([server, { unansweredSinceMs, lastEndedAtMs, isInFlight }]) => {
        const isUnanswered = unansweredSinceMs !== undefined &&
          nowMs - unansweredSinceMs >= timings.unresponsiveAfterMs;
        return (isUnanswered || refusing.has(server)) &&
          (isInFlight || nowMs - lastEndedAtMs < SUSPICION_TTL_MS);
      })
      .map(([server]) => server);
  }

  /**
   * Age in ms of the last grant and of the last unanswered one (null when there
   * was none), by server, of ranges that are no longer granted: those of its
   * other ranges keep no lease on them in force. Measured from the end of the
   * call, as a busy VM may send late.
   */
  grantAgesMs(): Map<contracts.ServerId, GrantAges> {
    const ages = new Map<contracts.ServerId, GrantAges>();
    for (const { server, ages: ofCall } of this.#formerCalls()) {
      ages.set(server, youngest(ofCall, ages.get(server)));
    }
    return ages;
  }

  /**
   * The grants that overlap the ranges of each handover. `inHandover`: ranges in
   * handover by their old owner.
   */
  handoverGrantTimesMs(
    inHandover: ReadonlyMap<
      contracts.ServerId,
      readonly contracts.RangeState[]
    >,
  ): HandoverGrantTimes[] {
    const found = new Map<string, HandoverGrantTimes>();
    for (const { server, call, ages: [ageMs] } of this.#formerCalls()) {
      const [leftMs, unansweredLeftMs] = this.#leasesLeftMs(call);
      for (const range of inHandover.get(server) ?? []) {
        if (!grants.overlaps(call, range)) continue;
        const { revision } = range.vacating!;
        const name = `${server}/${revision}`;
        const [, , otherMs, otherLeftMs, otherUnansweredLeftMs] =
          found.get(name) ?? [server, revision, ageMs, leftMs, null];
        found.set(name, [
          server,
          revision,
          Math.min(ageMs, otherMs),
          Math.max(leftMs, otherLeftMs),
          pick(Math.max, unansweredLeftMs, otherUnansweredLeftMs),
        ]);
      }
    }
    return [...found.values()];
  }

  /** Remaining time of a call's leases, and of the unanswered ones. */
  #leasesLeftMs(call: LastCall): [number, number | null] {
    const { clock, timings } = this.#options;
    const nowMs = clock.nowMs();
    const { isInFlight, leaseEndMs, unansweredLeaseEndMs } = call;
    // A call in flight may last for its timeout.
    const inFlightMs = isInFlight
      ? timings.grantTimeoutMs + call.leaseLifetimeMs
      : null;
    const endedMs = leaseEndMs === Number.NEGATIVE_INFINITY
      ? null
      : Math.ceil(leaseEndMs - nowMs);
    const unansweredMs = unansweredLeaseEndMs === undefined
      ? null
      : Math.ceil(unansweredLeaseEndMs - nowMs);
    return [
      pick(Math.max, inFlightMs, endedMs)!,
      pick(Math.max, inFlightMs, unansweredMs),
    ];
  }

  /** The last calls for ranges that are no longer granted. */
  *#formerCalls(): Generator<{
    readonly server: contracts.ServerId;
    readonly call: LastCall;
    readonly ages: GrantAges;
  }> {
    const nowMs = this.#options.clock.nowMs();
    for (const [rangeKey, call] of this.#lastCalls) {
      if (this.#listed.has(rangeKey)) continue;
      const { server, isInFlight, endedAtMs, unansweredAtMs } = call;
      // No grant was sent yet; JSON can't represent an infinite age.
      if (!isInFlight && endedAtMs === Number.NEGATIVE_INFINITY) continue;
      const ageMs = isInFlight ? 0 : Math.floor(nowMs - endedAtMs);
      const unansweredAgeMs = isInFlight
        ? 0
        : unansweredAtMs === undefined
        ? null
        : Math.floor(nowMs - unansweredAtMs);
      yield { server, call, ages: [ageMs, unansweredAgeMs] };
    }
  }

  /**
   * Sends one grant. Failures are logged, and reported through the callbacks.
   */
  async send(
    { range, handover, leaseMs, isStillAllowed }: GrantRequest,
  ): Promise<void> {
    const { clock, timings, findServer, log } = this.#options;
    const server = findServer(range.owner);
    if (server === undefined) return;
    const state = this.#state(range.owner);
    const sentAtMs = clock.nowMs();
    const { unansweredSinceMs } = state;
    const call = this.#lastCall(range);
    state.isInFlight = true;
    call.isInFlight = true;
    const leaseLifetimeMs = grants.maxLeaseLifetimeMs(timings, leaseMs);
    call.leaseLifetimeMs = leaseLifetimeMs;
    state.unansweredSinceMs ??= sentAtMs;
    const { fromKey, toKey, fence } = range;
    const fields = { server: server.server, fromKey, toKey, fence };
    const answer: AnswerState = {
      endedAtMs: undefined,
      isDoubted: false,
      leaseLifetimeMs,
    };
    let wasSent = false;
    const maySend = () => {
      wasSent = isStillAllowed();
      return wasSent;
    };
    const result = await this.#call(
      server,
      { fromKey, toKey, fence, holdMs: leaseMs, handover },
      {
        timeoutMs: timings.grantTimeoutMs,
        maySend,
        onAnswerDoubted: (reason) => {
          answer.isDoubted = true;
          noteIfUnanswered(call, answer);
          log.info("A grant's answer is in doubt.", { ...fields, reason });
        },
      },
    );
    state.isInFlight = false;
    call.isInFlight = false;
    if (result.isErr() && result.error.kind === "kept") {
      state.unansweredSinceMs = unansweredSinceMs;
      this.#options.onCompleted(server.server);
      return log.warn(
        "Grant not sent: its range map is outdated or no longer confirmed.",
        fields,
      );
    }
    state.lastEndedAtMs = clock.nowMs();
    answer.endedAtMs = state.lastEndedAtMs;
    answer.isDoubted ||= wasSent && result.isErr();
    noteIfUnanswered(call, answer);
    this.#scheduleRetry(state, result.isOk() && result.value === "granted");
    // Without a connection nothing was sent that could still take effect.
    if (wasSent || result.isOk()) {
      call.endedAtMs = state.lastEndedAtMs;
      call.leaseEndMs = Math.max(
        call.leaseEndMs,
        call.endedAtMs + leaseLifetimeMs,
      );
    }
    this.#options.onCompleted(server.server);
    if (wasSent && !this.#listed.has(rangeKeyOf(range))) {
      log.info("A grant ended after its range was taken from its owner.", {
        ...fields,
        tookMs: Math.round(state.lastEndedAtMs - sentAtMs),
        leaseLeftMs: Math.round(leaseLifetimeMs),
        isInDoubt: answer.isDoubted,
      });
    }
    if (result.isErr()) {
      log.warn("Grant not answered.", {
        ...fields,
        tookMs: Math.round(state.lastEndedAtMs - sentAtMs),
        reason: result.error.message,
      });
      return;
    }
    state.unansweredSinceMs = undefined;
    if (result.value === "granted") {
      return this.#noteAccepted(range, { sentAtMs, leaseMs });
    }
    if (result.value !== "backing-off") this.#noteRefused(range, sentAtMs);
    log.warn("Grant refused.", { ...fields, answer: result.value });
    if (result.value === "fenced-off") this.#options.onFencedOff(range);
  }

  /**
   * Reports a call that throws as failed: it would count as in flight for good,
   * and the server would get no other grant.
   */
  async #call(
    server: contracts.RegisteredServer,
    grant: contracts.KeyGrant,
    options: contracts.GrantCallOptions,
  ): Promise<
    neverthrow.Result<contracts.GrantAnswer, contracts.ServerCallError>
  > {
    try {
      return await this.#options.control.grant(server, grant, options);
    } catch (error) {
      return neverthrow.err({ kind: "unreachable", message: String(error) });
    }
  }

  #scheduleRetry(state: ServerState, isGranted: boolean): void {
    state.consecutiveFailures = isGranted ? 0 : state.consecutiveFailures + 1;
    if (isGranted) return;
    const { random = SYSTEM_RANDOM } = this.#options;
    const backoffMs = Math.min(
      RETRY_MAX_MS,
      RETRY_MIN_MS * 2 ** (state.consecutiveFailures - 1),
    );
    state.retryAtMs = state.lastEndedAtMs +
      backoffMs * (0.5 + random.next() / 2);
  }

  /**
   * Takes the ranges of a new map. Removes the state of all others, and of
   * servers and ranges without a grant for four times the lease duration
   * `leaseMs`.
   */
  prune(ranges: readonly contracts.RangeState[], leaseMs: number): void {
    const listed = new Set(ranges.map(rangeKeyOf));
    for (const rangeKey of this.#accepted.keys()) {
      if (!listed.has(rangeKey)) this.#accepted.delete(rangeKey);
    }
    for (const rangeKey of this.#refused.keys()) {
      if (!listed.has(rangeKey)) this.#refused.delete(rangeKey);
    }
    this.#listed = listed;
    const expiryMs = this.#options.clock.nowMs() - 4 * leaseMs;
    for (const [rangeKey, { isInFlight, endedAtMs }] of this.#lastCalls) {
      const isOld = !isInFlight && endedAtMs < expiryMs;
      if (isOld && !listed.has(rangeKey)) this.#lastCalls.delete(rangeKey);
    }
    for (const [server, state] of this.#servers) {
      if (!state.isInFlight && state.lastEndedAtMs < expiryMs) {
        this.#servers.delete(server);
      }
    }
  }

  #lastCall(range: contracts.RangeState): LastCall {
    const rangeKey = rangeKeyOf(range);
    const found = this.#lastCalls.get(rangeKey);
    if (found !== undefined) return found;
    const { fromKey, toKey, owner } = range;
    const created: LastCall = {
      server: owner.server,
      fromKey,
      toKey,
      isInFlight: false,
      endedAtMs: Number.NEGATIVE_INFINITY,
      unansweredAtMs: undefined,
      leaseLifetimeMs: 0,
      leaseEndMs: Number.NEGATIVE_INFINITY,
      unansweredLeaseEndMs: undefined,
    };
    this.#lastCalls.set(rangeKey, created);
    return created;
  }

  #noteRefused(range: contracts.RangeState, sinceMs: number): void {
    const rangeKey = rangeKeyOf(range);
    if (this.#refused.has(rangeKey)) return;
    this.#refused.set(rangeKey, { server: range.owner.server, sinceMs });
  }

  #noteAccepted(range: contracts.RangeState, accepted: AcceptedGrant): void {
    const rangeKey = rangeKeyOf(range);
    this.#refused.delete(rangeKey);
    const isFirst = !this.#accepted.has(rangeKey);
    this.#accepted.set(rangeKey, accepted);
    if (!isFirst) return;
    const { fromKey, toKey, fence, owner } = range;
    this.#options.log.info("Range granted.", {
      server: owner.server,
      fromKey,
      toKey,
      fence,
    });
    this.#options.onAccepted(range);
  }

  #state(owner: contracts.RangeOwner): ServerState {
    const found = this.#servers.get(owner.server);
    if (found?.owner.bornMs === owner.bornMs) return found;
    const created: ServerState = {
      owner,
      isInFlight: false,
      lastEndedAtMs: Number.NEGATIVE_INFINITY,
      unansweredSinceMs: undefined,
      consecutiveFailures: 0,
      retryAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#servers.set(owner.server, created);
    return created;
  }
}

const SYSTEM_RANDOM = new SystemRandom();

function youngest(
  [ageMs, unansweredAgeMs]: GrantAges,
  [otherMs, otherUnansweredMs]: GrantAges = [Number.POSITIVE_INFINITY, null],
): GrantAges {
  return [
    Math.min(ageMs, otherMs),
    pick(Math.min, unansweredAgeMs, otherUnansweredMs),
  ];
}

/** One of two times; null for none. */
function pick(
  choose: (a: number, b: number) => number,
  a: number | null,
  b: number | null,
): number | null {
  if (a === null || b === null) return a ?? b;
  return choose(a, b);
}

/** Cache of range keys, which are needed at every tick. */
const rangeKeys = new WeakMap<contracts.RangeState, string>();

function rangeKeyOf(range: contracts.RangeState): string {
  const cached = rangeKeys.get(range);
  if (cached !== undefined) return cached;
  const { fromKey, toKey, fence, owner } = range;
  const rangeKey = `${owner.server}/${fence}/${fromKey}-${toKey}`;
  rangeKeys.set(range, rangeKey);
  return rangeKey;
}
