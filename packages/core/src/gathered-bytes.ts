/**
 * Gathers the chunks of a body, so that it takes little more memory than its bytes.
 *
 * A peer decides how long its chunks are. Each chunk is an object, and a part of a larger buffer that it keeps in memory: chunks of one
 * byte would take a hundred times their length. Short chunks are therefore copied into shared pages.
 */
const shortChunkBytes = 4 * 1024
const firstPageBytes = shortChunkBytes
const maxPageBytes = 64 * 1024

export class GatheredBytes {
  #parts: Uint8Array[] = []
  #length = 0
  #page = Buffer.alloc(0)
  /** The bytes of the page from here to `#end` are in none of the parts yet. */
  #start = 0
  #end = 0

  get length (): number {
    return this.#length
  }

  add (chunk: Uint8Array): void {
    this.#length += chunk.length
    if (chunk.length >= shortChunkBytes) {
      this.#closePart()
      this.#parts.push(chunk)
      return
    }
    if (chunk.length > this.#page.length - this.#end) this.#startPage()
    this.#page.set(chunk, this.#end)
    this.#end += chunk.length
  }

  /** What has been gathered, in one buffer. */
  get bytes (): Buffer {
    this.#closePart()
    const [only] = this.#parts
    if (only === undefined || this.#parts.length > 1) return Buffer.concat(this.#parts)
    return Buffer.from(only.buffer, only.byteOffset, only.length)
  }

  #startPage (): void {
    this.#closePart()
    this.#page = Buffer.allocUnsafeSlow(Math.min(maxPageBytes, Math.max(firstPageBytes, this.#page.length * 2)))
    this.#start = 0
    this.#end = 0
  }

  #closePart (): void {
    if (this.#end > this.#start) this.#parts.push(this.#page.subarray(this.#start, this.#end))
    this.#start = this.#end
  }
}
