/** Grant calls that count for their servers' limits and back-offs. */
import type * as contracts from "@guavatide/contracts";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { LogFields, Logger } from "../../utils/log.ts";

/** What is told of grant calls. */
export interface GrantCallObserver {
  /** Called when a call is sent. */
  noteCall(server: contracts.ServerId, kind: "grant" | "release"): void;
  /** Called with what an answer says of its server, `tookMs` after the call. */
  noteNotices(
    server: contracts.RegisteredServer,
    notices: contracts.ServerNotices,
    tookMs: number,
  ): void;
}

/** Options of {@link ObservedGrantControl}. */
export interface ObservedGrantControlOptions {
  readonly control: contracts.GrantControl;
  readonly observers: readonly GrantCallObserver[];
  readonly clock: contracts.Clock;
  /** Counts answers by kind of call and outcome. */
  readonly counts: LabelledCounts;
  readonly log: Logger;
}

/** One call whose answer is observed. */
interface ObservedCall {
  /** Options that pass on what the call reports. */
  readonly options: contracts.GrantCallOptions;
  /** Fields for a log line about its answer. */
  readonly describe: () => LogFields;
  readonly noteAnswered: () => void;
  readonly noteFailed: (error: contracts.ServerCallError) => void;
}

/** Reports each call that is sent, and what answers say of their servers. */
export class ObservedGrantControl implements contracts.GrantControl {
  readonly #options: ObservedGrantControlOptions;

  constructor(options: ObservedGrantControlOptions) {
    this.#options = options;
  }

  grant(
    server: contracts.RegisteredServer,
    grant: contracts.KeyGrant,
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["grant"]> {
    const observed = this.#observed(server, "grant", options);
    return this.#options.control.grant(server, grant, observed.options)
      .map((answer) => {
        observed.noteAnswered();
        return answer;
      })
      .mapErr((error) => {
        observed.noteFailed(error);
        return error;
      });
  }

  release(
    server: contracts.RegisteredServer,
    range: contracts.KeyRange & { readonly fence: number },
    options: contracts.GrantCallOptions,
  ): ReturnType<contracts.GrantControl["release"]> {
    const observed = this.#observed(server, "release", options);
    return this.#options.control.release(server, range, observed.options)
      .map((handover) => {
        const { fromKey, toKey, fence } = range;
        observed.noteAnswered();
        // Releases are few; the source of each answer is kept.
        this.#options.log.info("Release answered.", {
          ...observed.describe(),
          fromKey,
          toKey,
          fence,
        });
        return handover;
      })
      .mapErr((error) => {
        observed.noteFailed(error);
        return error;
      });
  }

  close(): Promise<void> {
    return this.#options.control.close();
  }

  #observed(
    server: contracts.RegisteredServer,
    kind: "grant" | "release",
    options: contracts.GrantCallOptions,
  ): ObservedCall {
    const { observers, clock, counts, log } = this.#options;
    const sentAtMs = clock.nowMs();
    let source: contracts.AnswerSource | undefined;
    const describe = () => ({
      server: server.server,
      call: kind,
      tookMs: Math.round(clock.nowMs() - sentAtMs),
      ...source,
    });
    const observed: contracts.GrantCallOptions = {
      ...options,
      onAnswerSource: (it) => {
        source = it;
        options.onAnswerSource?.(it);
      },
      maySend: () => {
        const maySend = options.maySend?.() ?? true;
        if (!maySend) return false;
        for (const it of observers) it.noteCall(server.server, kind);
        return true;
      },
      onNotices: (notices) => {
        options.onNotices?.(notices);
        const tookMs = clock.nowMs() - sentAtMs;
        for (const it of observers) it.noteNotices(server, notices, tookMs);
      },
    };
    return {
      options: observed,
      describe,
      noteAnswered: () => counts.add(1, { call: kind, outcome: "answered" }),
      noteFailed: ({ kind: failure, message }) => {
        if (failure !== "bad-answer") return;
        counts.add(1, { call: kind, outcome: "discarded" });
        log.warn("Discarded an answer.", { ...describe(), reason: message });
      },
    };
  }
}
