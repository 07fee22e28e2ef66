/** A bucket of tokens: filled up to its capacity, emptied one by one. */
export class TokenBucket {
  private tokens: number;

  /** A bucket of `capacity` tokens, full unless `tokens` says otherwise. */
  constructor(
    private capacity: number,
    tokens = capacity,
  ) {
    this.tokens = tokens;
  }

  /** From now on it holds `capacity` tokens at most. */
  resize(capacity: number): void {
    this.capacity = capacity;
    this.tokens = Math.min(capacity, this.tokens);
  }

  /** Whole tokens in the bucket. */
  get availableTokens(): number {
    return Math.floor(this.tokens);
  }

  /** What is missing of the next whole token, 0 if there is one. */
  get deficit(): number {
    return Math.max(0, 1 - this.tokens);
  }

  /** Adds tokens (parts of one included); what goes over the capacity is lost. */
  add(tokens: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }

  /** Takes a token; false if there is none. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
