/** Hashes keys with xxHash. */
import xxhash from "xxhash-wasm";
import type { XXHashAPI } from "xxhash-wasm";

/** Maps keys to hashes below `HASH_SPACE`. */
export class KeyHasher {
  readonly #api: XXHashAPI;

  private constructor(api: XXHashAPI) {
    this.#api = api;
  }

  /** Loads the WebAssembly module of the hash; call it once per process. */
  static async create(): Promise<KeyHasher> {
    return new KeyHasher(await xxhash());
  }

  /** The 32-bit hash of a text, at least 0 and below 2^32. */
  hash(text: string): number {
    return this.#api.h32(text);
  }
}
