/** A bucket of tokens: filled up to its capacity, emptied one by one. */
export class TokenBucket {
  private tokens: number;

  /** A full bucket of `capacity` tokens. */
  constructor(private readonly capacity: number) {
    this.tokens = capacity;
  }

  /** Whole tokens in the bucket. */
  get level(): number {
    return Math.floor(this.tokens);
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
