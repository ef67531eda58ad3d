/**
 * Sends grants to one service's backend servers, one at a time to each, and
 * remembers when: a mover must know what may still take effect.
 */
import type * as contracts from "@guavatide/contracts";
import type * as grants from "@guavatide/decisions/grants/mod";
import { SystemRandom } from "../utils/clock.ts";
import type { PartLog } from "../utils/log.ts";

/** Options of {@link GrantSender}. */
export interface GrantSenderOptions {
  readonly control: contracts.GrantControl;
  readonly timings: grants.GrantTimings;
  readonly clock: contracts.Clock;
  /** The system's unless given. */
  readonly random?: contracts.RandomSource;
  readonly log: PartLog;
  /** The server of an owner, also when it leaves; undefined when unknown. */
  readonly findServer: (
    owner: contracts.RangeOwner,
  ) => contracts.RegisteredServer | undefined;
  /** An owner confirmed a range for the first time since this fence is known. */
  readonly onAccepted: (range: contracts.RangeState) => void;
  /** A grant was answered or given up. */
  readonly onCompleted: (server: contracts.ServerId) => void;
  /** An owner has seen a higher fence: the map known here is old or wrong. */
  readonly onFencedOff: (range: contracts.RangeState) => void;
}

/** Grants to one server. */
interface ServerGrants {
  isUnderWay: boolean;
  /** When the last grant was answered or given up. */
  lastEndMs: number;
  lastUnansweredMs: number | undefined;
  /** First of the grants in a row that were not answered. */
  silentSinceMs: number | undefined;
  /** Grants in a row that were not granted. */
  failures: number;
  /** No grant is sent before. */
  notBeforeMs: number;
}

/**
 * Suspicion of a silent server lapses after this time: it gets no grants once
 * its ranges are taken away, so nothing else could show that it is back.
 */
const SUSPICION_TTL_MS = 1_500;
/**
 * Back-off after failed grants: a refused connection fails within a
 * millisecond.
 */
const RETRY_MIN_MS = 40;
const RETRY_MAX_MS = 320;

/** A range to be granted or renewed. */
export interface GrantRequest {
  readonly range: contracts.RangeState;
  readonly handover: string | undefined;
  readonly leaseMs: number;
  /** Whether the grant rests on good evidence, asked as its bytes leave. */
  readonly isStillAllowed: () => boolean;
}

/** Renewals of one entry VM for one service. */
export class GrantSender {
  readonly #options: GrantSenderOptions;
  readonly #servers = new Map<contracts.ServerId, ServerGrants>();
  /** When each range was last confirmed, by its fence and first key. */
  readonly #confirmedMs = new Map<string, number>();

  constructor(options: GrantSenderOptions) {
    this.#options = options;
  }

  /** When a range was last confirmed to this VM; undefined when never. */
  acceptedAtMs(range: contracts.RangeState): number | undefined {
    return this.#confirmedMs.get(nameOf(range));
  }

  /**
   * Whether a grant may be sent: the owner is known, none is under way, and
   * none just failed.
   */
  canSend(owner: contracts.RangeOwner): boolean {
    if (this.#options.findServer(owner) === undefined) return false;
    const state = this.#servers.get(owner.server);
    if (state === undefined) return true;
    return !state.isUnderWay &&
      this.#options.clock.nowMs() >= state.notBeforeMs;
  }

  /** Servers that have left this VM's grants unanswered for `silentMs`. */
  unresponsiveServers(): contracts.ServerId[] {
    const { clock, timings } = this.#options;
    const nowMs = clock.nowMs();
    return [...this.#servers]
      .filter(([, { silentSinceMs, lastEndMs, isUnderWay }]) =>
        silentSinceMs !== undefined &&
        nowMs - silentSinceMs >= timings.unresponsiveAfterMs &&
        (isUnderWay || nowMs - lastEndMs < SUSPICION_TTL_MS)
      )
      .map(([server]) => server);
  }

  /**
   * Age of the last grant and of the last unanswered one, by server, from the
   * end of the call: a busy VM may send late.
   */
  grantAgesMs(): Map<contracts.ServerId, [number, number | null]> {
    const nowMs = this.#options.clock.nowMs();
    const ages = new Map<contracts.ServerId, [number, number | null]>();
    for (const [server, state] of this.#servers) {
      const { isUnderWay, lastEndMs, lastUnansweredMs } = state;
      // Nothing has left yet, and peers can't be told an infinite age.
      if (!isUnderWay && lastEndMs === Number.NEGATIVE_INFINITY) continue;
      const unansweredMs = lastUnansweredMs === undefined
        ? null
        : Math.floor(nowMs - lastUnansweredMs);
      ages.set(
        server,
        isUnderWay ? [0, 0] : [Math.floor(nowMs - lastEndMs), unansweredMs],
      );
    }
    return ages;
  }

  /** Sends one grant. */
  async send(
    { range, handover, leaseMs: holdMs, isStillAllowed: mayLeave }:
      GrantRequest,
  ): Promise<void> {
    const { clock, control, timings, findServer: entry, log } = this.#options;
    const server = entry(range.owner);
    if (server === undefined) return;
    const state = this.#state(range.owner.server);
    const sentMs = clock.nowMs();
    const { silentSinceMs } = state;
    state.isUnderWay = true;
    state.silentSinceMs ??= sentMs;
    const { fromKey, toKey, fence } = range;
    const result = await control.grant(
      server,
      { fromKey, toKey, fence, holdMs, handover },
      { timeoutMs: timings.grantTimeoutMs, maySend: mayLeave },
    );
    state.isUnderWay = false;
    const fields = { server: server.server, fromKey, toKey, fence };
    if (result.isErr() && result.error.kind === "kept") {
      state.silentSinceMs = silentSinceMs;
      this.#options.onCompleted(server.server);
      return log.warn("Grant kept back: its evidence is too old.", fields);
    }
    state.lastEndMs = clock.nowMs();
    this.#notePause(state, result.isOk() && result.value === "granted");
    if (result.isErr()) state.lastUnansweredMs = state.lastEndMs;
    this.#options.onCompleted(server.server);
    if (result.isErr()) {
      log.warn("Grant not answered.", {
        ...fields,
        tookMs: Math.round(state.lastEndMs - sentMs),
        reason: result.error.message,
      });
      return;
    }
    state.silentSinceMs = undefined;
    if (result.value === "granted") return this.#confirm(range, sentMs);
    log.warn("Grant refused.", { ...fields, answer: result.value });
    if (result.value === "fenced-off") this.#options.onFencedOff(range);
  }

  #notePause(state: ServerGrants, isGranted: boolean): void {
    state.failures = isGranted ? 0 : state.failures + 1;
    if (isGranted) return;
    const { random = SYSTEM_RANDOM } = this.#options;
    const pauseMs = Math.min(
      RETRY_MAX_MS,
      RETRY_MIN_MS * 2 ** (state.failures - 1),
    );
    state.notBeforeMs = state.lastEndMs + pauseMs * (0.5 + random.next() / 2);
  }

  /** Forgets servers and ranges that are gone; grants last for `holdMs`. */
  prune(ranges: readonly contracts.RangeState[], holdMs: number): void {
    const names = new Set(ranges.map(nameOf));
    for (const name of this.#confirmedMs.keys()) {
      if (!names.has(name)) this.#confirmedMs.delete(name);
    }
    const oldMs = this.#options.clock.nowMs() - 4 * holdMs;
    for (const [server, state] of this.#servers) {
      if (!state.isUnderWay && state.lastEndMs < oldMs) {
        this.#servers.delete(server);
      }
    }
  }

  #confirm(range: contracts.RangeState, sentMs: number): void {
    const name = nameOf(range);
    const isFirst = !this.#confirmedMs.has(name);
    this.#confirmedMs.set(name, sentMs);
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

  #state(server: contracts.ServerId): ServerGrants {
    const found = this.#servers.get(server);
    if (found !== undefined) return found;
    const created: ServerGrants = {
      isUnderWay: false,
      lastEndMs: Number.NEGATIVE_INFINITY,
      lastUnansweredMs: undefined,
      silentSinceMs: undefined,
      failures: 0,
      notBeforeMs: Number.NEGATIVE_INFINITY,
    };
    this.#servers.set(server, created);
    return created;
  }
}

const SYSTEM_RANDOM = new SystemRandom();

/** Names of ranges: they are asked for at every tick. */
const names = new WeakMap<contracts.RangeState, string>();

function nameOf(range: contracts.RangeState): string {
  const known = names.get(range);
  if (known !== undefined) return known;
  const { fromKey, toKey, fence, owner } = range;
  const name = `${owner.server}/${fence}/${fromKey}-${toKey}`;
  names.set(range, name);
  return name;
}
