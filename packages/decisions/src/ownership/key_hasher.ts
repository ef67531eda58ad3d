/** Hashes of keys, by the xxHash library. */
import xxhash from "xxhash-wasm";
import type { XXHashAPI } from "xxhash-wasm";

/** Turns key texts into hashes below `HASH_SPACE`. */
export class KeyHasher {
  readonly #api: XXHashAPI;

  private constructor(api: XXHashAPI) {
    this.#api = api;
  }

  /** Loads the hash code; call once for each process. */
  static async create(): Promise<KeyHasher> {
    return new KeyHasher(await xxhash());
  }

  /** The 32-bit hash of a text, at least 0 and below 2^32. */
  hash(text: string): number {
    return this.#api.h32(text);
  }
}
