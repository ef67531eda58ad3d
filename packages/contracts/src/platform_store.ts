/**
 * The platform's object store as this system uses it: named objects with
 * versions, conditional updates and watches. An adapter for another platform
 * implements {@link PlatformStore} and passes its contract tests.
 */
import type { ResultAsync } from "neverthrow";

/** Largest size of a value, in bytes. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;

/** Condition under which a write takes effect. */
export type WriteCondition =
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: string }
  | { readonly kind: "any" };

/** An object read from the store. */
export interface StoredObject {
  readonly name: string;
  /** Opaque; changes with every write. */
  readonly version: string;
  /** JSON text. */
  readonly value: string;
}

/** One event of a watch. `cursor` resumes the watch after this event. */
export interface WatchEvent {
  readonly cursor: string;
  readonly name: string;
  /** Absent when the object was deleted. */
  readonly object?: StoredObject;
}

/** Result of one poll of a watch. */
export interface WatchBatch {
  readonly cursor: string;
  readonly events: readonly WatchEvent[];
  /** True when events were lost: the reader has to list again. */
  readonly reset: boolean;
}

/** Why a store call failed. */
export type StoreError =
  /** Nothing was written: the object has another version. */
  | { readonly kind: "conflict"; readonly message: string }
  | { readonly kind: "not-found"; readonly message: string }
  /** Nothing was written: the store refused the value or the call. */
  | { readonly kind: "refused"; readonly message: string }
  /** The store did not answer in time or at all; a write may have happened. */
  | { readonly kind: "unavailable"; readonly message: string };

/** Deadline and cancellation, passed through every layer. */
export interface CallOptions {
  /** Time left for the call, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /**
   * Called for each part of the answer. With it, a call whose answer is arriving
   * goes on for up to three times `timeoutMs`.
   */
  readonly onProgress?: () => void;
}

/** Client of the platform's store. Each method is one counted call. */
export interface PlatformStore {
  get(
    name: string,
    options: CallOptions & {
      /** Allows an answer that is seconds old, where that is cheaper. */
      readonly mayBeStale?: boolean;
    },
  ): ResultAsync<StoredObject, StoreError>;
  /**
   * Lists all objects with a prefix, in any number of calls. The objects include
   * all changes up to `cursor`, from which a watch can start, and may include
   * later ones.
   */
  list(
    prefix: string,
    options: CallOptions & {
      /** As in `get`; `cursor` is then as old as the oldest part of the list. */
      readonly mayBeStale?: boolean;
    },
  ): ResultAsync<{ objects: StoredObject[]; cursor: string }, StoreError>;
  /** Returns the new version. */
  put(
    name: string,
    value: string,
    options: CallOptions & { readonly condition: WriteCondition },
  ): ResultAsync<string, StoreError>;
  delete(
    name: string,
    options: CallOptions & { readonly condition: WriteCondition },
  ): ResultAsync<void, StoreError>;
  /**
   * Long poll: returns on an event after `cursor`, or after `waitMs`
   * milliseconds.
   */
  watch(
    prefix: string,
    options: CallOptions & { readonly cursor: string; readonly waitMs: number },
  ): ResultAsync<WatchBatch, StoreError>;
}
