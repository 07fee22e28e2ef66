/** In-memory store that serves the platform's table API to a gateway process over HTTP. */
import * as http from "node:http";

interface StoredRow {
  readonly value: string | undefined;
  readonly version: number;
}

interface Commit {
  readonly expected: readonly { table: string; key: string; ver: number }[];
  readonly writes: readonly { table: string; key: string; value: string }[];
  readonly remove: readonly { table: string; key: string }[];
}

/** Serves one store. */
export class StoreServer {
  private readonly tables = new Map<string, Map<string, StoredRow>>();
  private readonly waiters = new Set<() => void>();
  private version = 1;
  private readonly server = http.createServer((req, res) => {
    void this.respond(req, res);
  });

  /** Listens on the address. */
  start(ip: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, ip, resolve));
  }

  /** Writes a row. */
  put(table: string, key: string, value: unknown): void {
    this.version += 1;
    this.write(table, key, Buffer.from(JSON.stringify(value)).toString("base64"));
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private write(table: string, key: string, value: string | undefined): void {
    const rows = this.tables.get(table) ?? new Map<string, StoredRow>();
    this.tables.set(table, rows);
    rows.set(key, { value, version: this.version });
    for (const wake of [...this.waiters]) wake();
  }

  private async respond(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const url = new URL(req.url ?? "/", "http://store");
    const { searchParams: query } = url;
    const table = query.get("table") ?? "";
    if (url.pathname === "/rows-tx") {
      const committed = this.commit(JSON.parse(Buffer.concat(chunks).toString()) as Commit);
      send(res, committed ? 200 : 412, { ver: this.version, nowMs: Date.now() });
      return;
    }
    const after = Number(query.get("after") ?? 0);
    if (url.pathname === "/rows-feed") await this.waitForChange(table, after, Number(query.get("waitMs")));
    const rows = [...(this.tables.get(table) ?? [])]
      .filter(([key, row]) => row.version > after && key >= (query.get("from") ?? ""))
      .filter(([key]) => key < (query.get("target") ?? "\uffff"))
      .filter(([, row]) => after > 0 || row.value !== undefined)
      .map(([key, { value, version }]) =>
        value === undefined ? { key, removed: true, ver: version } : { key, value, ver: version },
      );
    send(res, 200, { rows, ver: this.version, nowMs: Date.now() });
  }

  private commit({ expected, writes, remove }: Commit): boolean {
    const versionOf = (table: string, key: string): number => {
      const row = this.tables.get(table)?.get(key);
      return row?.value === undefined ? 0 : row.version;
    };
    if (expected.some(({ table, key, ver }) => versionOf(table, key) !== ver)) return false;
    this.version += 1;
    for (const { table, key, value } of writes) this.write(table, key, value);
    for (const { table, key } of remove) this.write(table, key, undefined);
    return true;
  }

  /** Resolves once a row of the table is newer than `after`, or after `waitMs`. */
  private waitForChange(table: string, after: number, waitMs: number): Promise<void> {
    const hasChange = (): boolean =>
      [...(this.tables.get(table)?.values() ?? [])].some((row) => row.version > after);
    if (hasChange()) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(check);
        resolve();
      };
      const check = (): void => {
        if (hasChange()) finish();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(check);
    });
  }
}

function send(res: http.ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
  res.end(text);
}
