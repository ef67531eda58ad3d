/** The body of an answer, as it arrives. */

/** Most answers come in few chunks, which are not copied until the end. */
const MAX_VIEWS = 8;
/** Up to this size, a view of a chunk takes more memory than its bytes. */
const COPIED_CHUNK_BYTES = 512;
const BLOCK_BYTES = 16_384;

/** Collects chunks; many small ones are copied together. */
export class AnswerBody {
  readonly #parts: Uint8Array[] = [];
  #block: Uint8Array | undefined;
  #blockUsedBytes = 0;

  add(chunk: Uint8Array): void {
    const isViewed = this.#parts.length < MAX_VIEWS ||
      chunk.length > COPIED_CHUNK_BYTES;
    if (isViewed) {
      this.#endBlock();
      this.#parts.push(chunk);
      return;
    }
    if (this.#blockUsedBytes + chunk.length > BLOCK_BYTES) this.#endBlock();
    this.#block ??= Buffer.allocUnsafe(BLOCK_BYTES);
    this.#block.set(chunk, this.#blockUsedBytes);
    this.#blockUsedBytes += chunk.length;
  }

  /** The whole body. */
  bytes(): Uint8Array {
    this.#endBlock();
    return this.#parts.length === 1
      ? this.#parts[0]!
      : Buffer.concat(this.#parts);
  }

  #endBlock(): void {
    if (this.#block === undefined) return;
    this.#parts.push(this.#block.subarray(0, this.#blockUsedBytes));
    this.#block = undefined;
    this.#blockUsedBytes = 0;
  }
}
