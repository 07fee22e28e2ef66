/** Sample templates of the embedded system, one per sample customer (Andes, Ovaşeker). */
import type { Template } from "../common/template.ts";

/** Base URLs of the service stand-ins by service name, known once they have bound their ports. */
export type ServiceAddresses = Readonly<Record<"catalog" | "weighbridge" | "slips", string>>;

/** Andes: the syllabus assistant and the catalog (a reservation must not be made twice). */
export function andes(addresses: ServiceAddresses): Template {
  return {
    name: "andes-prestamos",
    customer: "andes",
    priority: "normal",
    share: 0.5,
    moveWeight: 0.2,
    models: [
      {
        name: "syllabus-8b",
        version: "v1",
        sizeMb: 16_000,
        adapters: [{ name: "es-cl", sizeMb: 200 }],
        replicas: 2,
      },
      { name: "counter-3b", version: "v1", sizeMb: 6_000, adapters: [], replicas: 1 },
    ],
    services: [
      {
        name: "catalog",
        servers: [addresses.catalog],
        calls: [
          { name: "shelf", idempotent: true },
          { name: "reserve", idempotent: false },
        ],
      },
    ],
  };
}

/** Ovaşeker: intake assistant, weighbridge and slips (a sugar-content slip must not be printed twice). */
export function ovaseker(addresses: ServiceAddresses): Template {
  return {
    name: "ovaseker-intake",
    customer: "ovaseker",
    priority: "high",
    share: 0.5,
    moveWeight: 0.8,
    models: [
      {
        name: "intake-8b",
        version: "v1",
        sizeMb: 16_000,
        adapters: [{ name: "tr-contracts", sizeMb: 300 }],
        replicas: 2,
      },
    ],
    services: [
      {
        name: "weighbridge",
        servers: [addresses.weighbridge],
        calls: [{ name: "gate-ticket", idempotent: true }],
      },
      { name: "slips", servers: [addresses.slips], calls: [{ name: "sugar-slip", idempotent: false }] },
    ],
  };
}
