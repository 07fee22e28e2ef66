/** The table service stand-in: in-memory versioned rows with conditional, all-or-nothing commits. */
import { Failure } from "../common/errors.ts";
import type * as protocol from "../common/table.ts";

/** An in-memory transactional table; `revision` rises by one per commit. */
export class Table {
  private readonly rows = new Map<string, protocol.Row>();
  private revision = 0;

  /** The row at `key`, or null. */
  get(key: string): protocol.Row | null {
    return this.rows.get(key) ?? null;
  }

  /** Rows under `prefix` changed after revision `since` (all if absent), sorted by key. */
  scan(prefix: string, since = 0): protocol.ScanResult {
    const rows = [...this.rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.revision > since)
      .sort((a, b) => a.key.localeCompare(b.key));
    return { rows, revision: this.revision };
  }

  /** Applies all writes or none; a failed condition throws `conflict` naming the key. */
  commit(writes: readonly protocol.Write[]): protocol.CommitResult {
    for (const write of writes) this.check(write);
    this.revision += 1;
    const written: protocol.Row[] = [];
    for (const write of writes) {
      const version = (this.rows.get(write.key)?.version ?? 0) + 1;
      const row = { key: write.key, value: write.value, version, revision: this.revision };
      if (write.value === null) this.rows.delete(write.key);
      else this.rows.set(write.key, row);
      written.push(row);
    }
    return { revision: this.revision, rows: written };
  }

  private check(write: protocol.Write): void {
    if (write.expectVersion === undefined) return;
    const current = this.rows.get(write.key)?.version ?? 0;
    if (current !== write.expectVersion) {
      throw new Failure(
        "conflict",
        `${write.key}: expected version ${write.expectVersion}, found ${current}; re-read and try again`,
      );
    }
  }
}
