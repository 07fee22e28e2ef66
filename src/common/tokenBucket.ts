/** A token bucket that its owner refills explicitly, up to its capacity. */
export class TokenBucket {
  private tokens: number;

  /** Creates a bucket that holds at most `capacity` tokens; full by default. */
  constructor(
    private capacity: number,
    tokens = capacity,
  ) {
    this.tokens = tokens;
  }

  /** Changes the capacity; surplus tokens are discarded. */
  resize(capacity: number): void {
    this.capacity = capacity;
    this.tokens = Math.min(capacity, this.tokens);
  }

  /** Number of whole tokens in the bucket. */
  get availableTokens(): number {
    return Math.floor(this.tokens);
  }

  /** Fraction missing to the next whole token; 0 if there is one. */
  get deficit(): number {
    return Math.max(0, 1 - this.tokens);
  }

  /** Adds tokens, possibly a fraction of one; those beyond the capacity are discarded. */
  add(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }

  /** Takes one token; returns false if there is none. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
