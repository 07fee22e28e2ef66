/** Learns the sizes of responses, by route: the requests of one route have similar responses. */

/** Weight of the newest response in the mean. */
const newestWeight = 0.05;
/** Size assumed before any response, bytes: that of a short stream. */
const initialBytes = 4_000;

/** Mean size of the responses of each route. */
export class ResponseSizes {
  private readonly means = new Map<string, number>();

  /** Applies the size of a response. */
  observe(route: string, bytes: number): void {
    const known = this.means.get(route);
    this.means.set(route, known === undefined ? bytes : known + (bytes - known) * newestWeight);
  }

  /** Expected size of a response of the route, bytes. */
  expected(route: string): number {
    return this.means.get(route) ?? initialBytes;
  }

  /** Forgets all other routes, as those of an earlier configuration. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.means.keys()) if (!routes.has(route)) this.means.delete(route);
  }
}
