/**
 * Assigns each engine to the node that reads its cache. All active nodes compute the owners of all engines twice a second,
 * by a cryptographic hash for each pair of engine and node, so owners are kept while the nodes stay the same.
 */
import type { BackendServer } from "../../serving/backendServer.ts";
import { ownerOf } from "../../serving/membership/owner.ts";

/** A node that may read. */
export interface ReaderNode {
  readonly ip: string;
  readonly zone: string;
  /** Servers that it can't connect to. */
  readonly unreachable?: readonly string[] | undefined;
}

/** Maximum number of engines whose owners are kept. */
const maxEngines = 4_096;

interface Candidates {
  readonly ips: readonly string[];
  /** Equal for equal candidates. */
  readonly key: string;
}

/** The active nodes at one time. */
interface NodeSet {
  readonly nodes: readonly ReaderNode[];
  /** Servers that some node can't connect to. */
  readonly unreachable: ReadonlySet<string>;
  readonly byZone: Map<string, Candidates>;
}

/** Owners of engines. */
export class ReaderAssignment {
  private readonly owners = new Map<string, { readonly key: string; readonly owner: string | undefined }>();
  private set: NodeSet = { nodes: [], unreachable: new Set(), byZone: new Map() };

  /** Sets the active nodes; `ownerOf` refers to the last ones set. */
  update(nodes: readonly ReaderNode[]): void {
    const unreachable = new Set(nodes.flatMap((node) => node.unreachable ?? []));
    this.set = { nodes, unreachable, byZone: new Map() };
  }

  /** The owner: a node that can connect to the engine, in its zone if there is any; undefined if there is no such node. */
  ownerOf(server: Pick<BackendServer, "id" | "zone">): string | undefined {
    const { ips, key } = this.candidatesOf(server);
    const known = this.owners.get(server.id);
    if (known?.key === key) return known.owner;
    const owner = ownerOf(`caches ${server.id}`, ips);
    if (this.owners.size >= maxEngines) this.owners.clear();
    this.owners.set(server.id, { key, owner });
    return owner;
  }

  private candidatesOf({ id, zone }: Pick<BackendServer, "id" | "zone">): Candidates {
    const { nodes, unreachable, byZone } = this.set;
    if (unreachable.has(id))
      return candidatesAmong(
        nodes.filter((node) => node.unreachable?.includes(id) !== true),
        zone,
      );
    const known = byZone.get(zone) ?? candidatesAmong(nodes, zone);
    byZone.set(zone, known);
    return known;
  }
}

function candidatesAmong(connected: readonly ReaderNode[], zone: string): Candidates {
  const near = connected.filter((node) => node.zone === zone);
  const ips = (near.length > 0 ? near : connected).map(({ ip }) => ip).sort();
  return { ips, key: ips.join(" ") };
}
