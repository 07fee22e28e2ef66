/** Counts waiting or running requests by a key, such as that of a model, an adapter or a server. */
export class RequestCounter {
  private readonly counts = new Map<string, number>();

  add(key: string): void {
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  remove(key: string): void {
    const left = (this.counts.get(key) ?? 0) - 1;
    if (left > 0) this.counts.set(key, left);
    else this.counts.delete(key);
  }

  has(key: string): boolean {
    return this.counts.has(key);
  }

  get(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  /** Counts by key, for peers. */
  snapshot(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
