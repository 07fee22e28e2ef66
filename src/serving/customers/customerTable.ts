/** The customers of one configuration, indexed by API key and by name. */
import { hashApiKey } from "./apiKey.ts";
import type { Customer } from "./customer.ts";

/** Finds customers by their API keys. */
export class CustomerTable {
  private readonly byKeyHash = new Map<string, Customer>();
  private readonly byName = new Map<string, Customer>();

  constructor(readonly customers: readonly Customer[]) {
    for (const customer of customers) {
      this.byName.set(customer.name, customer);
      for (const hash of customer.keyHashes) this.byKeyHash.set(hash, customer);
    }
  }

  /** The holder of the key. Digests are looked up, so the time taken says nothing about the keys. */
  holderOf(key: string): Customer | undefined {
    return this.byKeyHash.get(hashApiKey(key));
  }

  /** The customer by name. */
  get(name: string): Customer | undefined {
    return this.byName.get(name);
  }
}
