/** The host list stand-in: live and leaving backend hosts, visible to readers after a lag. */
import type { Host } from "../common/platformClient.ts";

interface Change {
  readonly at: number;
  readonly host: Host;
}

/** Hosts by address; a change becomes visible after `lagMs`, to simulate the lag of the real host list. */
export class HostList {
  private readonly changes: Change[] = [];

  constructor(private readonly lagMs = 0) {}

  /** Records a host's new state, which becomes visible after the lag. */
  set(host: Host): void {
    this.changes.push({ at: Date.now(), host });
  }

  /** The hosts currently visible to readers. */
  list(): Host[] {
    const visible = new Map<string, Host>();
    const horizon = Date.now() - this.lagMs;
    for (const change of this.changes)
      if (change.at <= horizon) visible.set(change.host.address, change.host);
    return [...visible.values()];
  }
}
